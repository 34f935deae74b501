# Guards against a booking that is lost or doubled, or told "not run" though it
# ran, when an agent is killed and restarted under load.
NET=50
. tests/lib.sh
booking_site
start_bookings 400 --rate 100
for n in 1 2 3; do
  wait_for "bookings before kill $n" runs_at_least $((n * 80))
  kill_hard agent1
  start_agent 1 plain bookings
done
booking_verdict 3
