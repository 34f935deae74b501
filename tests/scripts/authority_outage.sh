# Guards against an order that is accepted while the key-value service can't
# confirm its token, chats that end with the service, and orders that don't
# come back after it.  Runner 1 checks the token, runner 2 doesn't.
NET=33
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 engine chat --ignore-token
set_vms 1 2
start_entry 1
set_config v1
wait_version v1 1 2

# The agents are stopped, so that the orders wait until the outage began.
kill -STOP "${PIDS[agent1]}" "${PIDS[agent2]}"
set_config v2
for i in 1 2; do
  wait_for "order to vm$i" eval "grep -c '\"vm$i\".*sends an order' \
    '$WORK/entry1.log' | grep -q '^[2-9]'"
done
curl -sf -X POST "http://$KV/test/fault?kind=outage" > /dev/null
kill -CONT "${PIDS[agent1]}" "${PIDS[agent2]}"
for i in 1 2; do
  wait_for "refusal" logged agent$i "refused: the authority cannot be read"
done
wait_for "loss" logged entry1 "lost the authority"
chat 1 chat hello false | jq -c .choices[0].finish_reason
for i in 1 2; do
  state_is $i version v1 && echo "no order on runner $i"
done
curl -sf -X POST "http://$KV/test/fault?kind=none" > /dev/null
wait_version v2 1 2
for i in 1 2; do
  print_orders $i
done
