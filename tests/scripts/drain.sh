# Guards against a drained runner that still gets new work, and against a
# drain that cuts the streams in progress on the runner.
NET=24
. tests/lib.sh
start_kv
for i in 1 2; do
  start_runner $i engine chat --token-us 100000
done
start_runner 3 plain bookings
start_runner 4 plain bookings
set_vms 1 2 3 4
start_entry 1
start_entry 2
echo secret > "$WORK/key"

# Prints a member of runner $1 as entry 1 sees it.
runner ()			# I MEMBER
{
  curl -s "http://127.$NET.2.1:8001/admin/status" \
    | jq -r ".runners[] | select(.name == \"vm$1\") | .$2"
}
is () { [ "$(runner "$1" "$2")" = "$3" ]; }
wait_for "runner 1" is 1 state serving
for i in 2 3 4; do wait_for "runner $i" is $i state serving; done

start_load --entry "127.$NET.2.1:8000" --chats 12 --threads 12
wait_for "streams on runner 1" metric_at_least 1 active_calls 8
ctl drain vm1 --operator ana --credential-file "$WORK/key"
ctl drain vm1 --operator ana --credential-file "$WORK/key"
load_done
echo "runner 1: $(runner 1 state)"
is_idle () { is 1 running 0 && is 1 own 0; }
wait_for "idle runner 1" is_idle

echo "== bookings beside a drained service runner"
ctl drain vm3 --operator ana --credential-file "$WORK/key"
for i in $(seq 8); do
  curl -s -X POST -d "$i" "http://127.$NET.2.$((i % 2 + 1)):8000/bookings/new" \
    | grep -q "\"booked\":\"$i\"" || die "booking $i"
done
echo "drained: $(curl -s "http://127.$NET.1.3:7100/test/runs")"
echo "serving: $(curl -s "http://127.$NET.1.4:7100/test/runs" | jq -cS .)"

echo "== undrain"
ctl undrain vm1 --operator ana --credential-file "$WORK/key"
echo "runner 1: $(runner 1 state)"
ctl drain vm9 --operator ana --credential-file "$WORK/key"
echo "exit status $?"
stop entry1
stop entry2
