# Guards against an entry that never becomes ready, or does not serve, because
# the list names endpoint VMs that cannot be reached.
NET=15
. tests/lib.sh
start_kv
start_runner 1 engine chat
set_vms 1 2 3 4
start_entry 1
wait_for "chat" serves 1 chat
chat 1 chat hello false | jq -r '.choices[0].finish_reason'
stop entry1
