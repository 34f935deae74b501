# Guards against an edit that is reported as failed, or applied twice, because
# the service's answer to its write was lost.
NET=22
. tests/lib.sh
start_kv
start_entry 1
start_entry 2
curl -sf -X POST "http://$KV/test/fault?kind=lose-answer&count=1" \
  > /dev/null || die "fault"
echo '{"queue_max": 5}' | edit limits 0 ana
echo "lost answers: $(curl -s "http://$KV/test/stats" | jq .lost_answers)"
ctl --json config get limits \
  | jq -c '[.revision, .generation, .body.queue_max]'
ctl --json config history limits | jq -c 'length'
cat > "$WORK/ctl.json" <<EOS
{ // The addresses can also come from a file.
  "kv": "$KV", "config_peers": ["127.$NET.2.1:8001", "127.$NET.2.2:8001"] }
EOS
echo '{"queue_max": -1}' > "$WORK/bad.json"
"$BUILD/goldcresthatchctl" --settings "$WORK/ctl.json" \
  config check "$WORK/bad.json" limits 2>&1 | sed "s|$WORK/||g"
echo "entries: $(shown 1), $(shown 2)"
stop entry1
stop entry2
