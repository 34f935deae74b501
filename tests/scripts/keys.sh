# Guards against generated keys that the processes cannot use, key files that
# others may read, a run that overwrites keys or leaves half of a set, and a
# replacement of the entries' keys that refuses entries on the way.
NET=66
. tests/lib.sh
umask 000

keys ()				# ARGUMENTS...
{
  local status
  ctl keys "$@" > "$WORK/printed" 2>&1
  status=$?
  sed "s|$WORK/||g" "$WORK/printed"
  [ $status -eq 0 ] || echo "exit status $status"
}

echo "== a set"
keys "$WORK/first" entry1 entry2
stat -c '%a %n' "$WORK/first" "$WORK"/first/* | sed "s|$WORK/||"
jq -s '[.[0].allowed == [.[1].public_key, .[2].public_key],
  .[1].server == .[0].public_key, .[2].server == .[0].public_key,
  ([.[].secret_key] | unique | length)]' -c "$WORK"/first/*.json

echo "== nothing is overwritten"
before=$(cat "$WORK"/first/*)
keys "$WORK/first" entry3
mkdir "$WORK/second"
echo kept > "$WORK/second/entry2.json"
keys "$WORK/second" entry1 entry2
head "$WORK"/second/* | sed "s|$WORK/||"
[ "$before" = "$(cat "$WORK"/first/*)" ] && echo unchanged

echo "== faulty command lines and files"
keys "$WORK/third"
for name in agent a/b .. -- '' "$(printf 'x%.0s' {1..65})" 'a b'; do
  keys "$WORK/third" -- "$name"
done
keys "$WORK/third" entry1 entry1
keys "$WORK/third" entry1 --agent-file "$WORK/first/entry1.json"
keys "$WORK/third" entry1 --agent-file "$WORK/second/entry2.json"
keys "$WORK/third" {1..65}
keys "$WORK/second/entry2.json/fourth" entry1
ls "$WORK/third"

echo "== entries with the keys are served"
start_kv
AGENT_EXTRA="\"keys\": \"$WORK/first/agent.json\""
start_runner 1 engine chat
set_vms 1
for i in 1 2; do
  ENTRY_EXTRA="\"keys\": \"$WORK/first/entry$i.json\""
  start_entry $i
  wait_for "chat at entry $i" serves $i chat
done

echo "== entries with old and new keys are served by an agent with both"
keys "$WORK/new" entry2 --agent-file "$WORK/first/agent.json"
stop agent1
AGENT_EXTRA="\"keys\": \"$WORK/new/agent.json\""
start_agent 1 engine chat
wait_for "chat with old keys" serves 1 chat
wait_for "chat with old keys" serves 2 chat
stop entry2
ENTRY_EXTRA="\"keys\": \"$WORK/new/entry2.json\""
start_entry 2
wait_for "chat with new keys" serves 2 chat
stop entry1
stop entry2
stop agent1
