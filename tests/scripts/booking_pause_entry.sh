# Guards against a booking that a paused entry sends after it wakes, though the
# other entry has settled its claim.
NET=54
AGENT_EXTRA='"window_ms": 400'
. tests/lib.sh
booking_site
window ()			# the agents' clock, read by the pause below
{
  date +%s%N | cut -c1-13
}
start_bookings 600 --rate 100 --deadline-ms 8000
for n in 1 2 3; do
  wait_for "bookings before pause $n" runs_at_least $((n * 100))
  kill -STOP "${PIDS[entry1]}"
  until_ms=$(($(window) + 1500))
  wait_for "end of pause $n" eval '[ $(window) -ge $until_ms ]'
  kill -CONT "${PIDS[entry1]}"
done
booking_verdict 3
