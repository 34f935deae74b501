# Guards against a client that sends a booking again by itself when the service
# closes a connection that it kept alive for the booking before.
NET=56
. tests/lib.sh
start_kv
start_runner 1 plain bookings
set_vms 1
start_entry 1
wait_for "booking" books 1 ready
for n in $(seq 10); do
  booking 1 "kept-$n" -o /dev/null -w '%{http_code} '
  fault "127.$NET.1.1:7100" "kind=close&count=1"
  booking 1 "closed-$n" -o /dev/null -w '%{http_code}\n'
done | sort | uniq -c
echo "== runs of each booking"
curl -s "http://127.$NET.1.1:7100/test/runs" | jq -c '[.[]] | group_by(.) | map([.[0], length])'
stop entry1
stop agent1
