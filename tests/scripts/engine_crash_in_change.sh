# Guards against a target that is given up, or an order that meets another one,
# when the engine crashes while it carries out an order.  Runner 1 checks the
# token, runner 2 doesn't.
NET=31
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
  curl -sf -X POST "http://127.$NET.1.$i:7100/test/crash" > /dev/null
  hold_orders $i 0
done
wait_version v2 1 2
wait_for "chat" serves 1 chat
for i in 1 2; do
  print_orders $i
done
