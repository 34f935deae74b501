# Guards against entries that read no configuration, take no bookings and give
# no orders after the key-value service was restored from an older copy: its
# revisions and leases are given out again.
NET=80
. tests/lib.sh
. tests/lib_order.sh
start_kv
start_runner 1 engine chat
start_runner 2 plain bookings
set_vms 1 2
fault "$KV" kind=copy
start_entry 1
for version in v1 v2 v3; do
  set_config $version
  wait_version $version 1
done
wait_for "booking" booking 1 before -f
fault "$KV" kind=restore
GENERATION=3
set_config v4
wait_version v4 1
echo "configuration in force"
wait_for "booking after that" booking 1 after -f
echo "booked"
print_orders 1
