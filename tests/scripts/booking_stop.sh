# Guards against an entry that stops gracefully before the result of a booking
# is recorded, so that a resend could not get it.
NET=59
. tests/lib.sh
booking_site
for i in 1 2; do fault "127.$NET.1.$i:7100" "kind=slow&count=1&ms=1500"; done
booking 1 seat > "$WORK/first" &
waiting=$!
wait_for "run of the booking" runs_at_least 3
fault "$KV" "kind=outage&ms=0&status=503"
wait $waiting
echo "== answered during the outage"
jq -r .booked "$WORK/first"
kill -TERM "${PIDS[entry1]}"
wait_for "start of the stop" eval "! http_ok 127.$NET.2.1:8001/readyz"
kill -0 "${PIDS[entry1]}" && echo "still stopping"
fault "$KV" kind=none
wait "${PIDS[entry1]}" && echo "stopped gracefully"
unset "PIDS[entry1]"
echo "== resend at the other entry"
booking 2 seat -D "$WORK/head" | jq -r .booked
grep -io '^x-recorded: true' "$WORK/head"
stop entry2
