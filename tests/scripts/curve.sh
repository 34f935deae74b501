# Guards against an agent that admits an entry without an allowed key, and
# against keys that are accepted unchecked.
NET=14
. tests/lib.sh
start_kv
AGENT_EXTRA='"keys": "tests/keys/agent.json"'
start_runner 1 engine chat
set_vms 1
ENTRY_EXTRA='"keys": "tests/keys/entry.json"'
start_entry 1
wait_for "chat" serves 1 chat
echo "== entry with an allowed key is served"
chat 1 chat hello false | jq -r '.choices[0].finish_reason'

ENTRY_EXTRA='"keys": "tests/keys/stranger.json"'
start_entry 2
refused ()
{
  grep -q '"step":"authenticate".*not allowed' "$WORK/agent1.log"
}
wait_for "refusal" refused
echo "== entry with another key is refused"
chat 2 chat hello false | jq -r '.error.outcome'
ENTRY_EXTRA=
start_entry 3
echo "== entry without keys is refused"
chat 3 chat hello false | jq -r '.error.outcome'

echo "== broken key file"
echo '{ "public_key": "short", "allowed": [1] }' > "$WORK/bad.json"
sed 's|"kv"|"keys": "'"$WORK/bad.json"'", "kv"|' "$WORK/entry3.json" \
  > "$WORK/bad-entry.json"
"$BUILD/goldcresthatch-entry" --settings "$WORK/bad-entry.json" 2>&1 \
  | sed "s|$WORK/||"
