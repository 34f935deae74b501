# Guards against an entry that takes its own pause for the silence of all its
# runners and gives up the streams in progress.
NET=42
. tests/lib.sh
PAUSE_S=8			# above the silence limit of 6 s
start_kv
for i in 1 2 3; do
  start_runner $i engine chat --token-us 50000
done
set_vms 1 2 3
start_entry 1
wait_for "chat" serves 1 chat

start_load --entry "127.$NET.2.1:8000" --chats 18 --threads 6
wait_for "streams in progress" metric_at_least 1 active_calls 6
kill -STOP "${PIDS[entry1]}"
sleep $PAUSE_S
kill -CONT "${PIDS[entry1]}"
load_done
echo "resumed: $(metric 1 resumes_total), tried again: $(metric 1 retries_total)"
stop entry1
