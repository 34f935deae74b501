# Guards against a change of a model's version that cuts streams, reaches an
# engine twice or not at all, begins before the engine is drained, or takes two
# engines of a shard out of service at a time.
NET=71
. tests/lib.sh
. tests/lib_order.sh
start_kv
for i in 1 2 3 4 5 6; do		# two in each zone
  start_runner $i engine chat --token-us 15000 --order-ms 500
done
set_vms 1 2 3 4 5 6
start_entry 1
set_config v1
wait_version v1 1 2 3 4 5 6
start_entry 2
for i in 1 2 3 4 5 6; do
  for entry in 1 2; do
    wait_for "runner $i" runner_is $entry $i serving
  done
done

start_load --entry "127.$NET.2.1:8000" --entry "127.$NET.2.2:8000" \
  --chats 1000000 --threads 18
for i in 1 2; do
  wait_for "load on entry $i" metric_at_least $i active_calls 4
done
set_config v2
wait_version v2 1 2 3 4 5 6
for i in 1 2 3 4 5 6; do
  before=$(engine_state $i started)
  used () { [ "$(engine_state $i started)" -gt "$before" ]; }
  wait_for "work for runner $i after its change" used
done
end_load 100

log_of ()			# RUNNER
{
  curl -s "http://127.$NET.1.$1:7100/test/log"
}

for i in 1 2 3 4 5 6; do
  log_of $i | jq -c '[.[] | {version, running}]'
done
for i in 1 2 3; do
  echo "one at a time in zone $i: $({ log_of $i; log_of $((i + 3)); } | jq -s \
    'add | map(select(.version == "v2")) | sort_by(.began_us)
     | .[0].ended_us <= .[1].began_us')"
done
stop entry1
stop entry2
for i in 1 2 3 4 5 6; do stop agent$i; done
