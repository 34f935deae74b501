# Guards against an edit that is reported as in force but does not reach every
# entry and agent, and against routes that do not follow the document.
NET=20
. tests/lib.sh
start_kv
start_runner 1 engine chat
start_runner 2 plain bookings
start_runner 3 plain bookings
set_vms 1 2 3
start_entry 1
start_entry 2

# Succeeds when entry $1 hears generation $2 from all three agents.
agents_at ()
{
  [ "$(curl -s "http://127.$NET.2.$1:8001/admin/status" | jq -c \
    '[.runners[].generation]')" = "[$2,$2,$2]" ]
}

echo '{"queue_max": 7}' | edit limits 0 ana
wait_for "agents at generation 1" agents_at 1 1
wait_for "agents at generation 1 seen by entry 2" agents_at 2 1
echo "entries: $(shown 1), $(shown 2)"

echo "== routes"
edit services 0 rui <<EOS
{"bookings": {"routes": [
  {"method": "POST", "path_prefix": "/seats", "idempotent": false}],
 "timeout_ms": 10000}}
EOS
wait_for "agents at generation 2" agents_at 1 2
booked ()
{
  curl -s -X POST -d "$1" "http://127.$NET.2.2:8000/seats/new" \
    | grep -q "\"booked\":\"$1\""
}
wait_for "booking by the route" booked "seat 1"
curl -s -X POST -d x "http://127.$NET.2.1:8000/bookings/new"
echo
curl -s -H 'X-Deadline-Ms: 99999999' "http://127.$NET.2.1:8000/seats"
echo
echo "== section"
ctl config get limits | head -1
ctl --json config history services | jq -c 'length'
stop entry1
stop entry2
for i in 1 2 3; do stop agent$i; done
