# Guards against a holder that is cut off from the key-value service and goes on
# with its authority past the lease: its order on the way must have no effect,
# and after the partition only the successor gives orders.  Runner 1 checks the
# token, runner 2 doesn't.
NET=74
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 engine chat --ignore-token
set_vms 1 2
LINK=127.$NET.0.2
start_link link $LINK:7000 "$KV" $LINK:7300
ENTRY_KV=$LINK:7000 start_entry 1
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
set_link $LINK:7300 kind=silent
for i in 1 2; do
  wait_for "takeover" holds 2 zone-$i
done
wait_for "loss" logged entry1 "lost the authority"
kill -CONT "${PIDS[agent1]}" "${PIDS[agent2]}"
wait_for "refusal" logged agent1 "token $old1 refused"
wait_for "refusal" logged agent2 "token $old2 refused"
wait_version v2 1 2
wait_for "chat without the key-value service" serves 1 chat

echo "== change while entry 1 is cut off"
set_config v3
wait_version v3 1 2
wait_for "configuration from other processes" eval '[[ "$(shown 1)" == "3 "* ]]'

echo "== after the partition"
set_link $LINK:7300 kind=pass
authority ()			# ENTRY
{
  curl -s -m 5 "http://127.$NET.2.$1:8001/admin/authority" \
    | jq -c 'map({shard, state}) | sort'
}
follows () { [ "$(authority 1 | grep -o follower | wc -l)" = 2 ]; }
wait_for "follower" follows
set_config v4
wait_version v4 1 2
for i in 1 2; do
  holds 2 zone-$i || die "entry 2 has lost zone-$i"
  print_orders $i
  curl -s "http://127.$NET.1.$i:7100/test/log" \
    | jq -c --argjson old "$(eval echo "\$old$i")" 'map(.token > $old)'
done
wait_for "chat" serves 1 chat
stop entry1
stop entry2
