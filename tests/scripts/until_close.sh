# Guards against an engine that counts as down, or whose orders count as failed,
# because its answers on health, state and orders end with their connection:
# their status and content tell enough.
NET=79
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat --until-close
set_vms 1
start_entry 1
for version in v1 v2; do
  set_config $version
  wait_version $version 1
  wait_for "chat" serves 1 chat
done
print_orders 1
