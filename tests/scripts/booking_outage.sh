# Guards against a booking that is lost, doubled or told "not run" though it ran
# while the key-value service is silent, refuses, is slow or loses answers.
NET=55
. tests/lib.sh
booking_site
fault "$KV" "kind=outage&ms=0&status=503"
echo "== outage, with and without a key"
booking 1 seat -o /dev/null -w '%{http_code} %header{x-outcome} %header{retry-after}\n'
curl -s -o /dev/null -w '%{http_code} %header{x-outcome} %header{retry-after}\n' \
  -d none "http://127.$NET.2.1:8000/bookings/new"
fault "$KV" kind=none
wait_for "booking after the outage" books 2 seat
start_bookings 800 --rate 100 --deadline-ms 15000
n=0
for f in "kind=outage&ms=1500" "kind=slow&ms=300&count=60" \
  "kind=lose-answer&count=30" "kind=outage&ms=1500&status=503" \
  "kind=slow&ms=1500&count=20" "kind=lose-answer&count=30"; do
  n=$((n + 1))
  wait_for "bookings before fault $n" runs_at_least $((n * 90))
  fault "$KV" "$f"
done
booking_verdict 7
