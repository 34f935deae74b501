# Guards against a warning in a healthy run, against a service without runners
# or a booking of unknown outcome that goes unnoticed, and against a warning
# that stays after its cause has ended.
NET=61
. tests/lib.sh
WAIT_S=180			# a warning has to hold for 15 s first

show ()
{
  curl -s "http://127.$NET.2.1:8001/admin/warnings" \
    | jq -r 'if length == 0 then "none" else .[]
      | "\(.kind) \(.subject): \(.evidence)" end'
}

raised ()			# KIND
{
  show | grep -q "^$1 "
}

cleared ()			# KIND
{
  ! raised "$1"
}

start_kv
for i in 1 2; do
  start_runner $i engine chat --token-us 1000
done
start_runner 3 plain bookings
set_vms 1 2 3
start_entry 1
wait_for "chat" serves 1 chat
wait_for "bookings" curl -sf "http://127.$NET.2.1:8000/bookings/status"

echo "== healthy under load"
start_load --entry "127.$NET.2.1:8000" --chats 100 --bookings 100 \
  --booking-path /bookings/new
load_done
show
grep -c '"step":"warning"' "$WORK/entry1.log"

echo "== the only runner of a service is gone"
stop agent3
wait_for "warning" raised no-runner
show
start_agent 3 plain bookings
wait_for "end of the warning" cleared no-runner
show

echo "== a booking of unknown outcome"
wait_for "bookings" curl -sf "http://127.$NET.2.1:8000/bookings/status"
curl -s -X POST "http://127.$NET.1.3:7100/test/fault?kind=close" > /dev/null
curl -s -o /dev/null -w '%{http_code}\n' -X POST -d 'seat 1' \
  -H 'Idempotency-Key: k1' "http://127.$NET.2.1:8000/bookings/new"
wait_for "warning" raised outcome-unknown
show | cut -d: -f1
stop entry1
