# Guards against an agent that restarts in the middle of an order and admits
# the next one while the engine still carries out the first, and against a
# graceful stop that cuts an order.  Runner 1 checks the token, runner 2 doesn't.
NET=32
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 engine chat --ignore-token
set_vms 1 2
start_entry 1
set_config v1
wait_version v1 1 2
for i in 1 2; do
  hold_orders $i 1
done
set_config v2
for i in 1 2; do
  wait_for "order in progress" state_is $i in_progress 1
  kill_hard agent$i
  : > "$WORK/agent$i.log"
  start_agent $i engine chat
  wait_for "agent $i" logged agent$i "endpoint is up"
done
set_config v3
# In the time of these messages, which are reports, the entry would give the
# next order to an agent that admits it.
wait_for "reports" metric_at_least 1 messages_in_total \
  $(($(metric 1 messages_in_total) + 8))
for i in 1 2; do
  state_is $i in_progress 1 && echo "still in progress on runner $i"
  hold_orders $i 0
done
wait_version v3 1 2
for i in 1 2; do
  print_orders $i
done

for i in 1 2; do
  hold_orders $i 1
done
set_config v4
for i in 1 2; do
  wait_for "order in progress" state_is $i in_progress 1
  kill -TERM "${PIDS[agent$i]}"
  hold_orders $i 0
  wait "${PIDS[agent$i]}"
  echo "agent $i exits with $? when stopped"
  unset "PIDS[agent$i]"
  state_is $i version v4 && echo "after its order was carried out"
done
