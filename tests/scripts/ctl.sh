# Guards against an operators' command that takes a faulty command line, hides
# a peer that does not answer, or accepts an edit without the credential.
NET=25
. tests/lib.sh
start_kv
start_runner 1 engine chat
set_vms 1
start_entry 1
serving ()
{
  curl -s "http://127.$NET.2.1:8001/admin/status" \
    | jq -e '.runners[0].state == "serving"'
}
wait_for "runner 1" serving

echo "== usage"
for arguments in "" "config" "config get" "config get nothing" "status extra" \
  "--peer 127.0.0.1 status" "--unknown" "config set limits file" "drain vm1"; do
  ctl $arguments > "$WORK/usage" 2>&1
  echo "[$arguments] $? $(head -1 "$WORK/usage")"
done

echo "== status with one of two peers"
ctl status 2>&1
echo "exit status $?"
PEERS=1 ctl --json status | jq -c '.[0].runners[0] | [.name, .state, .capacity]'

echo "== credential"
PEERS=1
echo '{"queue_max": 1}' | edit limits 0 ana
echo '{"queue_max": 2}' > "$WORK/limits.json"
ctl config set limits "$WORK/limits.json" --base 1 --operator rui \
  --credential-file <(echo wrong) 2>&1
echo "exit status $?"

echo "== one of two peers confirms"
PEERS=2
ctl --json config set limits "$WORK/limits.json" --base 1 --operator ana \
  --credential-file <(echo "secret of limits") 2>&1
echo "exit status $?"
stop entry1
stop agent1
