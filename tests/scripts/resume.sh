# Guards against a stream that is cut, or loses or repeats a token, when its
# engine crashes or its agent is killed: the answers of all chats must be whole.
NET=12
. tests/lib.sh
start_kv
for i in 1 2 3; do
  start_runner $i engine chat --token-us 10000
done
set_vms 1 2 3
start_entry 1
wait_for "chat" serves 1 chat

start_load --entry "127.$NET.2.1:8000" --chats 48 --threads 24
wait_for "streams in progress" metric_at_least 1 active_calls 20
curl -sf -X POST "http://127.$NET.1.1:7100/test/crash" > /dev/null
wait_for "resumed streams" metric_at_least 1 resumes_total 1
kill_hard agent2
load_done
[ "$(metric 1 resumes_total)" -ge 2 ] && echo "streams were resumed"
stop entry1
