# Guards against faults of a partition between one entry and one agent: a chat
# that ends with the link, new work for the agent that cannot be heard, tokens
# that come twice after the link is back, and an agent that stays unused.
NET=73
. tests/lib.sh
start_kv
LINK=127.$NET.1.11
for i in 1 2 3; do
  start_runner $i engine chat --token-us 15000
done
# The list names the link as the address of runner 1.
start_link link $LINK:7200 "127.$NET.1.1:7200" $LINK:7300
list=$(printf '{"name":"vm%d","address":"%s","zone":"zone-1","state":"live"},' \
  1 $LINK:7200 2 "127.$NET.1.2:7200" 3 "127.$NET.1.3:7200")
curl -sf -X PUT -d "[${list%,}]" "http://$KV/vms" > /dev/null || die "list"
start_entry 1
start_entry 2
for i in 1 2 3; do
  for entry in 1 2; do
    wait_for "runner $i" runner_is $entry $i serving
  done
done

start_load --entry "127.$NET.2.1:8000" --chats 1000000 --threads 12
has_streams () { [ "$(engine_state 1 running)" -ge 3 ]; }
wait_for "streams on runner 1" has_streams
set_link $LINK:7300 'kind=silent&peer=entry1/'
wait_for "silence" runner_is 1 1 silent
resumed () { [ $(($(metric 1 resumes_total) + $(metric 1 retries_total))) -ge 3 ]; }
wait_for "resumed chats" resumed
is_idle () { [ "$(engine_state 1 running)" = 0 ]; }
wait_for "end of the work of runner 1" is_idle

started=$(engine_state 1 started)
wait_for "requests" metric_at_least 1 requests_total \
  $(($(metric 1 requests_total) + 60))
echo "new work in 60 requests: $(($(engine_state 1 started) - started))"
echo "entry 1 sees: $(curl -s "http://127.$NET.2.1:8001/admin/status" \
  | jq -c '[.runners[] | {name, state}] | sort_by(.name) | map(.state)')"
runner_is 2 1 serving && echo "entry 2 still uses runner 1"

set_link $LINK:7300 kind=pass
wait_for "return of runner 1" runner_is 1 1 serving
started=$(engine_state 1 started)
used () { [ "$(engine_state 1 started)" -gt $((started + 3)) ]; }
wait_for "work after the partition" used
end_load 100
stop entry1
stop entry2
for i in 1 2 3; do stop agent$i; done
