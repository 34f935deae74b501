# Guards against an answer that is cut because more was admitted than the
# runners can finish in time, and against a refusal that is not marked as not
# run or does not say when to try again.
NET=43
. tests/lib.sh
AGENT_EXTRA='"capacity": 2'
start_kv
start_runner 1 engine chat --token-us 10000
start_runner 2 engine chat --token-us 10000
set_vms 1 2
start_entry 1
wait_for "chat" serves 1 chat

refused ()			# a short chat is refused early
{
  curl -s -m 30 -D "$WORK/head" -o "$WORK/body" -H 'X-Deadline-Ms: 300' \
    -H 'Content-Type: application/json' \
    -d '{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"x"}]}' \
    "http://127.$NET.2.1:8000/v1/chat/completions"
  grep -q '^X-Outcome: not-run' "$WORK/head"
}

start_load --entry "127.$NET.2.1:8000" --chats 120 --threads 60 \
  --deadline-ms 6000
wait_for "refusal" refused
sed -n 's/^HTTP[^ ]* \(429\|503\) .*/refused with 429 or 503/p' "$WORK/head"
sed -n 's/^Retry-After: [1-9][0-9]*.*/Retry-After is present/p' "$WORK/head"
load_done > "$WORK/counts"
cat "$WORK/counts" >&2
jq -r '"answered or refused: \(.answered_whole + .not_run == .requests)",
  "some answered: \(.answered_whole > 0)",
  "unknown \(.unknown), cut \(.cut), wrong \(.wrong)"' "$WORK/counts"
wait_for "chat after the load" serves 1 chat
stop entry1
