# Guards against a booking that runs a second time, or is told "not run", when
# the service runs it and closes the connection without an answer.
NET=52
. tests/lib.sh
booking_site
for i in 1 2; do fault "127.$NET.1.$i:7100" "kind=close&count=1"; done
echo "== closed without an answer"
booking 1 seat -o /dev/null -w '%{http_code} %header{x-outcome}\n'
booking 2 seat -o /dev/null -w '%{http_code} %header{x-outcome}\n'
echo "== the key of another request"
booking 1 ready-1 -d other -o /dev/null -w '%{http_code} %header{x-outcome}\n'
for i in 1 2; do fault "127.$NET.1.$i:7100" "kind=close&count=0"; done
start_bookings 400 --rate 100
for n in 1 2 3; do
  wait_for "bookings before fault $n" runs_at_least $((n * 80))
  for i in 1 2; do fault "127.$NET.1.$i:7100" "kind=close&count=10"; done
done
booking_verdict 7
