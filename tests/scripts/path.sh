# Guards against a break anywhere on the path from a caller through entry and
# agent to a runner and back, and against a stop that is not graceful.
NET=11
. tests/lib.sh
start_kv
start_runner 1 engine chat-model
start_runner 2 plain bookings
set_vms 1 2
start_entry 1
wait_for "chat" serves 1 chat-model
wait_for "bookings" curl -sf "http://127.$NET.2.1:8000/bookings/status"

echo "== whole answer"
chat 1 chat-model hello false
echo "== streamed answer"
chat 1 chat-model hello true
echo "== booking"
curl -s -X POST -d 'seat 1' "http://127.$NET.2.1:8000/bookings/new"
echo
echo "== runs counted by the service"
curl -s "http://127.$NET.1.2:7100/test/runs"
echo
echo "== unknown model"
chat 1 no-model hello false
echo
echo "== not JSON"
curl -s -d 'x' "http://127.$NET.2.1:8000/v1/chat/completions"
echo
stop entry1
stop agent1
stop agent2
echo "== stopped gracefully"
