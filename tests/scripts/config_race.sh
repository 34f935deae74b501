# Guards against an edit that vanishes in a race: of two edits of one section
# one must win and the other be told what changed; edits of different sections
# must both take effect.
NET=21
. tests/lib.sh
start_kv
start_entry 1
start_entry 2
echo '{"queue_max": 10}' | edit limits 0 ana > /dev/null || die "first edit"

echo "== same section"
echo '{"queue_max": 20}' | edit limits 1 ana > "$WORK/a" &
a=$!
echo '{"queue_max": 30}' | edit limits 1 rui > "$WORK/b" &
b=$!
wait $a; ra=$?
wait $b; rb=$?
echo "exit statuses: $(printf '%s\n' $ra $rb | sort | xargs)"
grep -h conflict "$WORK/a" "$WORK/b" | sed 's/by [a-z]*/by OTHER/'
won=$([ $ra = 0 ] && echo 20 || echo 30)
[ "$(ctl --json config get limits | jq .body.queue_max)" = "$won" ] \
  && echo "the winner's value is stored"

echo "== different sections, 4 rounds"
for i in 0 1 2 3; do
  pids=
  echo "{\"queue_max\": $((100 + i))}" | edit limits $((2 + i)) ana \
    > "$WORK/l$i" & pids="$pids $!"
  echo "{\"goodput_weight\": $((1 + i))}" | edit site $i rui \
    > "$WORK/s$i" & pids="$pids $!"
  echo "{\"m$i\": {\"version\": \"1\", \"max_output_tokens\": 9}}" \
    | edit models $i eva > "$WORK/m$i" & pids="$pids $!"
  for p in $pids; do
    wait "$p" || { cat "$WORK"/[lsm]$i; die "an edit was refused"; }
  done
done
for s in limits site models; do
  ctl --json config get $s | jq -c '[.section, .revision, .generation]'
done
ctl --json config history site | jq -c '[.[].body.goodput_weight]'
stop entry1
stop entry2
