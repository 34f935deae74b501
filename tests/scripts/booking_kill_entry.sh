# Guards against a booking that is lost or doubled when the entry that holds its
# claim is killed, and against a resend at the other entry that runs it again.
NET=51
. tests/lib.sh
booking_site
fault "127.$NET.1.1:7100" "kind=slow&count=1&ms=1500"
fault "127.$NET.1.2:7100" "kind=slow&count=1&ms=1500"
booking 1 seat > "$WORK/first" &
waiting=$!
wait_for "run of the booking" runs_at_least 3
kill_hard entry1
wait $waiting && die "the first sending was answered"
echo "== resend at the other entry"
booking 2 seat -D "$WORK/head" | jq -r .booked
grep -io '^x-recorded: true' "$WORK/head"
start_entry 1
wait_for "booking at entry 1" books 1 seat
start_bookings 400 --rate 100
for n in 1 2 3; do
  wait_for "bookings before kill $n" runs_at_least $((n * 80))
  kill_hard entry$((n % 2 + 1))
  start_entry $((n % 2 + 1))
done
booking_verdict 4
