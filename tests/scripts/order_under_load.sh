# Guards against a stream that a planned change cuts, two engines of a shard in
# change at a time, a drain that is lost or never ends, and a graceful stop that
# keeps the authority.
NET=35
. tests/lib.sh
. tests/lib_order.sh
start_kv
for i in 1 4 7; do			# all in zone-1
  start_runner $i engine chat --token-us 10000
done
start_runner 3 plain bookings
set_vms 1 3 4 7
start_entry 1
set_config v1
wait_version v1 1 4 7

in_progress ()			# prints the number of engines in change
{
  local i
  for i in 1 4 7; do
    curl -s "http://127.$NET.1.$i:7100/state"
  done | jq -s 'map(.in_progress) | add'
}

one_in_progress ()
{
  [ "$(in_progress)" -ge 1 ]
}

start_load --entry "127.$NET.2.1:8000" --chats 200 --threads 16
wait_for "streams in progress" metric_at_least 1 active_calls 10
for i in 1 4 7; do
  hold_orders $i 1
done
set_config v2
wait_for "order in progress" one_in_progress
# In the time of these reports the entry would give a second order.
wait_for "reports" metric_at_least 1 messages_in_total \
  $(($(metric 1 messages_in_total) + 12))
echo "in change: $(in_progress)"
for i in 1 4 7; do
  hold_orders $i 0
done
wait_version v2 1 4 7
load_done
for i in 1 4 7; do
  print_orders $i
done

echo "== drain of a plain service"
book ()				# STATUS-PATTERN
{
  [[ "$(curl -s -o /dev/null -w '%{http_code}' -m 30 -H 'X-Deadline-Ms: 500' \
    "http://127.$NET.2.1:8000/bookings/1")" =~ ^$1$ ]]
}
wait_for "booking" book 200
set_config v2 vm3 '"drain": true'
wait_for "drain" book "50[34]"
set_config v2
wait_for "end of the drain" book 200

echo "== graceful stop"
curl -s "http://127.$NET.2.1:8001/admin/authority" \
  | jq -c 'map({shard, state}) | sort'
stop entry1
curl -s -o /dev/null -w '%{http_code}\n' "http://$KV/kv/authority/zone-1"
for i in 1 4 7; do
  stop agent$i
done
