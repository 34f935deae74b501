# Measures what entry and agent add to a direct call of the runner stand-in:
# time to first token and requests per second, both in one run, with the
# processor time per request and the resident memory of each daemon.
NET=101
. tests/lib.sh
REQUESTS=${REQUESTS:-2000}
CLK=$(getconf CLK_TCK)

cpu_us ()			# NAME: processor time used so far
{
  awk -v clk="$CLK" '{ printf "%d", ($14 + $15) * 1000000 / clk }' \
    "/proc/${PIDS[$1]}/stat"
}

rss_kb ()			# NAME
{
  awk '/^VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"
}

measure ()			# LABEL ADDRESS THREADS TOKENS
{
  local out
  out=$("$BUILD/load-latency" --address "$2" --model chat-model \
    --requests "$REQUESTS" --threads "$3" --tokens "$4") || die "load"
  set -- "$1" "$3" $out
  printf '%-22s %8s %10s %12s %12s\n' "$1" "$2" "$3" "$4" "$5"
}

start_kv
start_runner 1 engine chat-model --token-us 200 --prefill-us 0
set_vms 1
start_entry 1
wait_for "chat" serves 1 chat-model
idle_entry=$(rss_kb entry1) idle_agent=$(rss_kb agent1)

printf '%-22s %8s %10s %12s %12s\n' path callers requests/s \
  "first p50 us" "first p95 us"
for callers in 1 8 32; do
  measure direct "127.$NET.1.1:7100" $callers 16
  before_entry=$(cpu_us entry1) before_agent=$(cpu_us agent1)
  measure "entry and agent" "127.$NET.2.1:8000" $callers 16
  after_entry=$(cpu_us entry1) after_agent=$(cpu_us agent1)
done
echo "processor time a request at 32 callers, 16 tokens:" \
  "entry $(((after_entry - before_entry) / REQUESTS)) us," \
  "agent $(((after_agent - before_agent) / REQUESTS)) us"
echo "resident memory idle: entry $idle_entry KB, agent $idle_agent KB;" \
  "after load: entry $(rss_kb entry1) KB, agent $(rss_kb agent1) KB"
before_entry=$(cpu_us entry1) before_agent=$(cpu_us agent1)
sleep 10
echo "processor time idle, 10 s:" \
  "entry $((($(cpu_us entry1) - before_entry) / 10)) us/s," \
  "agent $((($(cpu_us agent1) - before_agent) / 10)) us/s"
