# Guards against a rolling restart that cuts streams or calls, and against an
# entry that starts new work, or leaves a caller without an answer, while it
# drains.
NET=70
. tests/lib.sh
start_kv
for i in 1 2 3; do
  start_runner $i engine chat --token-us 15000
done
for i in 4 5; do
  start_runner $i plain bookings
done
set_vms 1 2 3 4 5
start_entry 1
start_entry 2
edit services 0 rui <<EOS
{ "bookings": { "timeout_ms": 60000, "routes": [
  { "method": "POST", "path_prefix": "/bookings", "idempotent": true } ] } }
EOS

wait_runner ()			# I
{
  local entry
  for entry in 1 2; do
    wait_for "runner $1 at entry $entry" runner_is $entry "$1" serving
  done
}

for i in 1 2 3 4 5; do wait_runner $i; done
start_load --entry "127.$NET.2.1:8000" --entry "127.$NET.2.2:8000" \
  --resend --chats 1000000 --bookings 500000 --booking-path /bookings/new \
  --threads 18 --rate 40
for i in 1 2; do
  wait_for "load on entry $i" metric_at_least $i active_calls 4
done

for i in 1 2 3 4 5; do
  stop agent$i
  kind=engine service=chat
  [ $i -gt 3 ] && kind=plain service=bookings
  start_agent $i $kind $service
  wait_runner $i
done
for i in 1 2; do
  stop entry$i
  start_entry $i
  for j in 1 2 3 4 5; do wait_for "runner $j" runner_is $i $j serving; done
done
end_load 100

echo "== requests to an entry that drains"
URL=http://127.$NET.2.1:8000
BODY='{"model":"chat","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"x"}]}'
curl -s -N -d "$BODY" $URL/v1/chat/completions > "$WORK/stream" &
stream=$!
# The first request keeps the connection; the second one follows on it.
curl -s -v -d "$BODY" -o "$WORK/first" $URL/v1/chat/completions \
  --next -s -d "$BODY" -o "$WORK/second" -D "$WORK/head" \
  $URL/v1/chat/completions 2> "$WORK/verbose" &
kept=$!
wait_for "streams" metric_at_least 1 active_calls 2
kill -TERM "${PIDS[entry1]}"
draining () { curl -s -m 5 $URL/readyz | grep -q draining; }
wait_for "drain" draining
echo "new connection: $(curl -s -m 20 -o /dev/null -w '%{http_code}' \
  -d "$BODY" $URL/v1/chat/completions)"
wait $kept || die "kept-alive connection: curl status $?"
grep -c 'Re-using existing connection' "$WORK/verbose"
tr -d '\r' < "$WORK/head" | grep -E '^(HTTP|X-Outcome|Retry-After|Connection)' \
  | sort
wait $stream || die "stream"
grep -c 'data: \[DONE\]' "$WORK/stream" "$WORK/first" | sed "s|$WORK/||"
wait "${PIDS[entry1]}"
echo "entry 1: exit status $?"
unset "PIDS[entry1]"
stop entry2
