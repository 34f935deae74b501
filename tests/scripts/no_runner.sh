# Guards against calls that wait for long when no runner is left, and against
# giving up a stream that has begun: it goes on when a runner returns.
NET=44
. tests/lib.sh
AGENT_EXTRA='"capacity": 1'
start_kv
start_runner 1 engine chat --token-us 10000
set_vms 1
start_entry 1
wait_for "chat" serves 1 chat

send ()				# FILE STREAM TOKENS
{
  curl -s -N -m 60 -D "$WORK/$1.head" -o "$WORK/$1" \
    -H 'Content-Type: application/json' \
    -d "{\"model\":\"chat\",\"stream\":$2,\"max_tokens\":$3,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}" \
    "http://127.$NET.2.1:8000/v1/chat/completions"
}

send stream true 600 &
STREAM=$!
wait_for "stream in progress" grep -q token_index "$WORK/stream"
send second false 8 &
SECOND=$!
send third false 8 &
THIRD=$!
wait_for "queued calls" metric_at_least 1 active_calls 3
kill_hard agent1
wait $SECOND $THIRD
for name in second third; do
  sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p; s/^X-Outcome: \([a-z-]*\).*/\1/p
    s/^Retry-After: [1-9].*/Retry-After/p' "$WORK/$name.head" | sort | xargs
done
start_agent 1 engine chat
wait $STREAM
echo "tokens: $(grep -c token_index "$WORK/stream")," \
  "ends: $(grep -c '^data: \[DONE\]' "$WORK/stream")"
stop entry1
