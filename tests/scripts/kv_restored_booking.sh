# Guards against a booking that runs twice: it is sent again under its key after
# the key-value service was restored from a copy without its record.
NET=81
. tests/lib.sh
start_kv
start_runner 1 plain bookings
set_vms 1
start_entry 1
start_entry 2
wait_for "booking" books 1 ready
fault "$KV" kind=copy
booking 1 seat | tee "$WORK/first"
fault "$KV" kind=restore
wait_for "an answer" books 2 seat
booking 2 seat | cmp - "$WORK/first" && echo "the same answer"
wait_for "another booking" books 2 new
echo "runs $(curl -s "http://127.$NET.1.1:7100/test/runs" \
  | jq '[to_entries[] | select(.key | contains("seat")) | .value] | add')"
