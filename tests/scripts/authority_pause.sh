# Guards against effects of a holder that lost its authority: an order that was
# on its way when the holder was stopped, and a holder that goes on with the old
# token.  Runner 1 checks the token, runner 2 doesn't.
NET=30
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 engine chat --ignore-token
set_vms 1 2
start_entry 1
wait_for "authority" holds 1 zone-1
wait_for "authority" holds 1 zone-2
start_entry 2
set_config v1
wait_version v1 1 2
old1=$(token zone-1)
old2=$(token zone-2)

# The agents are stopped, so that the orders for v2 wait in their sockets.
kill -STOP "${PIDS[agent1]}" "${PIDS[agent2]}"
set_config v2
for i in 1 2; do
  wait_for "order to vm$i" eval "grep -c '\"vm$i\".*sends an order' \
    '$WORK/entry1.log' | grep -q '^[2-9]'"
done
kill -STOP "${PIDS[entry1]}"
wait_for "takeover" holds 2 zone-1
wait_for "takeover" holds 2 zone-2
kill -CONT "${PIDS[agent1]}" "${PIDS[agent2]}"
wait_for "refusal" logged agent1 "token $old1 refused"
wait_for "refusal" logged agent2 "token $old2 refused"
wait_version v2 1 2

kill -CONT "${PIDS[entry1]}"
wait_for "loss" logged entry1 "lost the authority"
set_config v3
wait_version v3 1 2
wait_for "chat" serves 1 chat
for i in 1 2; do
  print_orders $i
  curl -s "http://127.$NET.1.$i:7100/test/log" \
    | jq -c --argjson old "$(eval echo "\$old$i")" 'map(.token > $old)'
done
stop entry1
stop entry2
