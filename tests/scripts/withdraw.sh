# Guards against a runner withdrawn in the configuration that still gets new
# work, whose streams are cut, or that is not used again when it comes back.
NET=72
. tests/lib.sh
. tests/lib_order.sh
start_kv
for i in 1 2 3; do
  start_runner $i engine chat --token-us 15000
done
set_vms 1 2 3
start_entry 1
set_config v1
wait_version v1 1 2 3
start_entry 2
for i in 1 2 3; do
  for entry in 1 2; do
    wait_for "runner $i" runner_is $entry $i serving
  done
done

start_load --entry "127.$NET.2.1:8000" --entry "127.$NET.2.2:8000" \
  --chats 1000000 --threads 18
has_streams () { [ "$(engine_state 1 running)" -ge 3 ]; }
wait_for "streams on runner 1" has_streams
set_config v1 vm1 '"withdraw": true'
for entry in 1 2; do
  wait_for "withdrawal at entry $entry" runner_is $entry 1 withheld
done
own ()				# prints the calls that the entries have on runner 1
{
  for entry in 1 2; do
    curl -s -m 5 "http://127.$NET.2.$entry:8001/admin/status"
  done | jq -s 'map(.runners[] | select(.name == "vm1") | .own) | add'
}
is_idle () { [ "$(own)" = 0 ] && [ "$(engine_state 1 running)" = 0 ]; }
wait_for "end of the streams of runner 1" is_idle
started=$(engine_state 1 started)
for entry in 1 2; do
  wait_for "requests" metric_at_least $entry requests_total \
    $(($(metric $entry requests_total) + 60))
done
echo "new work in 120 requests: $(($(engine_state 1 started) - started))"

set_config v1
used () { [ "$(engine_state 1 started)" -gt "$started" ]; }
wait_for "work after the withdrawal" used
end_load 100
stop entry1
stop entry2
for i in 1 2 3; do stop agent$i; done
