# Guards against two agents that give orders to one engine: a second agent on
# the VM must not start, also while the first is stopped.  Runner 1 checks the
# token, runner 2 doesn't.
NET=34
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 engine chat --ignore-token
set_vms 1 2
start_entry 1
set_config v1
wait_version v1 1 2

second_agent ()			# RUNNER
{
  "$BUILD/goldcresthatch-agent" --settings "$WORK/agent$1.json" \
    > "$WORK/second.log" 2>&1
  echo "exit $?"
  grep -o 'another agent runs on this VM' "$WORK/second.log"
}

for i in 1 2; do
  second_agent $i
  kill -STOP "${PIDS[agent$i]}"
  second_agent $i
  kill -CONT "${PIDS[agent$i]}"
done
set_config v2
wait_version v2 1 2
for i in 1 2; do
  print_orders $i
done
