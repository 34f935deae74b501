# Guards against new work for a VM that the list shows as leaving, for one whose
# agent stops gracefully and for one whose agent is silent, and against a
# stream that is cut on the way.
NET=41
. tests/lib.sh
start_kv
for i in 1 2 3 4; do
  start_runner $i engine chat --token-us 10000
done
set_vms 1 2 3 4
start_entry 1
wait_for "chat" serves 1 chat

running ()			# I
{
  curl -s "http://127.$NET.1.$1:7100/state" | jq .running
}

busy ()
{
  [ "$(running 1)" -gt 0 ] && [ "$(running 2)" -gt 0 ] \
    && [ "$(running 3)" -gt 0 ] && [ "$(running 4)" -gt 0 ]
}

# Under a load that keeps every usable runner busy, an engine that gets new
# work does not stay idle over 20 looks.
stays_idle ()			# I
{
  local n
  for n in {1..20}; do
    [ "$(running "$1")" -eq 0 ] || return 1
  done
}

start_load --entry "127.$NET.2.1:8000" --chats 800 --threads 24
wait_for "work on each runner" busy
set_vms 1:leaving 2 3 4
kill -TERM "${PIDS[agent2]}"
kill -STOP "${PIDS[agent3]}"
wait "${PIDS[agent2]}" && echo "agent 2 stopped gracefully"
unset "PIDS[agent2]"
for i in 1 2 3; do
  wait_for "idle runner $i" stays_idle $i
done
metric_at_least 1 active_calls 8 && echo "no new work for 1, 2 and 3"
kill -CONT "${PIDS[agent3]}"
load_done
stop entry1
