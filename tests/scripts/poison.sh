# Guards against a request that crashes one engine after the other, also when
# its caller sends it again through another entry, and against harm to the
# chats that run beside it.
NET=40
. tests/lib.sh
start_kv
for i in 1 2 3 4; do
  start_runner $i engine chat --token-us 10000 --crash-text POISON
done
set_vms 1 2 3 4
for i in 1 2; do
  start_entry $i
  wait_for "chat" serves $i chat
done

poison ()			# ENTRY
{
  curl -s -m 60 -o "$WORK/body" -w '%{http_code} ' -D "$WORK/head" \
    -H 'Content-Type: application/json' \
    -d '{"model":"chat","messages":[{"role":"user","content":"POISON"}]}' \
    "http://127.$NET.2.$1:8000/v1/chat/completions"
  sed -n 's/^X-Outcome: \([a-z-]*\).*/\1/p; /^Retry-After/p' "$WORK/head"
}

crashes ()
{
  cat "$WORK"/agent*.log | grep -c 'crash [0-9]* of the endpoint'
}

stopped_elsewhere ()		# the evidence in the service has two crashes
{
  local key
  for key in $(curl -s "http://$KV/kv/suspects/index" | jq -r '.[]'); do
    [ "$(curl -s "http://$KV/kv/suspects/$key" | jq length)" = 2 ] \
      && [ "$(metric 2 suspects_stopped_total)" = 1 ] && return 0
  done
  return 1
}

start_load --entry "127.$NET.2.1:8000" --entry "127.$NET.2.2:8000" \
  --chats 96 --threads 24
wait_for "chats in progress" metric_at_least 1 active_calls 8
echo "== through entry 1"
poison 1
wait_for "evidence at entry 2" stopped_elsewhere
echo "== again, through entry 2"
poison 2
load_done
echo "crashes: $(crashes)"
stop entry1
stop entry2
