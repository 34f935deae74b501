# Guards against "no such service" from an entry that has not heard from every
# listed VM: the service may be on the one that it has not heard from.  A keyed
# call that is not started is "unknown": one before it may have run.
NET=78
. tests/lib.sh
start_kv
set_vms 1
start_entry 1
wait_for "ready entry" http_ok "127.$NET.2.1:8001/readyz"
booking 1 early -o /dev/null -w '%{http_code} %header{x-outcome}\n'
start_runner 1 plain bookings
wait_for "booking" books 1 served
echo "served once it was heard"
curl -s -X POST -o /dev/null -w '%{http_code} %header{x-outcome}\n' \
  "http://127.$NET.2.1:8000/others/new"
stop entry1
stop agent1
