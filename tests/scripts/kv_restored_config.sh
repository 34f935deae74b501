# Guards against a change in force that is undone, or a new one that is reported
# as in force and isn't, after the key-value service was restored from a copy
# without it: the next edit starts from an older document.
NET=83
. tests/lib.sh
start_kv
start_entry 1
start_entry 2
echo '{"queue_max": 10}' | edit limits 0 ana
fault "$KV" kind=copy
echo '{"queue_max": 20}' | edit limits 1 ana
echo '{"queue_max": 30}' | edit limits 2 ana
fault "$KV" kind=restore
echo "== restored"
ctl --json config get limits | jq -c '[.revision, .generation, .body.queue_max]'
echo '{"queue_max": 15}' | edit limits 1 ana
echo '{"goodput_weight": 3}' | edit site 0 rui
ctl --json config get limits | jq -c '[.revision, .generation, .body.queue_max]'
for i in 1 2; do
  echo "entry $i: $(shown $i)"
  curl -s "http://127.$NET.2.$i:8001/admin/config?have=0" \
    | jq -c '[.sections.limits.body.queue_max, .sections.site.body.goodput_weight]'
done
echo '{"queue_max": 40}' | edit limits 3 eva
echo "== another credential"
echo '{"queue_max": 50}' > "$WORK/body"
ctl config set limits "$WORK/body" --base 4 --operator eva \
  --credential-file <(echo other) 2>&1
echo "exit status $?"
