# Guards against a configuration that reverts: an entry restarted while the
# service is down must not be ready with a lower generation than before, and
# must become ready through its peers.  Also guards against an agent that, while
# the service is down, does not learn the document from an entry.
NET=23
PEERS=3
. tests/lib.sh
start_kv
set_vms 1
for i in 1 2 3; do start_entry $i; done
for i in 0 1 2; do
  echo "{\"queue_max\": $i}" | edit limits $i ana > /dev/null || die "edit $i"
done
echo "before: $(shown 3)"
curl -sf -X POST "http://$KV/test/fault?kind=outage&status=503" > /dev/null
kill_hard entry3

echo "== one of three peers is not a majority"
kill_hard entry2
launch_entry 3
asked () { [ "$(metric 3 kv_errors_total)" -ge 3 ]; }
# The metrics page answers before the entry is ready.
wait_for "tries of entry 3" asked
echo "entry 3 with one peer: $(shown 3)"
curl -s -o /dev/null -w '%{http_code}\n' "http://127.$NET.2.3:8000/readyz"
curl -s -X POST -d x "http://127.$NET.2.3:8000/bookings/new"
echo

echo "== two of three peers are a majority"
curl -sf -X POST "http://$KV/test/fault?kind=none" > /dev/null
start_entry 2
wait_for "entry 3" http_ok "127.$NET.2.3:8000/readyz"
curl -sf -X POST "http://$KV/test/fault?kind=outage&status=503" > /dev/null
kill_hard entry3
launch_entry 3
up () { [ -n "$(shown 3)" ]; }
wait_for "admin page of entry 3" up
ready ()
{
  state=$(shown 3)
  case $state in
    "3 1") return 0 ;;
    *" 1") die "ready with generation $state" ;;
  esac
  return 1
}
wait_for "entry 3 through its peers" ready
echo "after: $(shown 3), metric $(metric 3 config_generation)"

echo "== agent started during the outage"
start_runner 1 engine chat
agent_at () { curl -s "http://127.$NET.2.1:8001/admin/status" \
  | jq -e ".runners[0].generation == $1"; }
wait_for "agent at generation 3" agent_at 3
echo "agent: generation 3"
for i in 1 2 3; do stop entry$i; done
stop agent1
