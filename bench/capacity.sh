# Measures the slopes that docs/CAPACITY.md multiplies by the target size, one
# dimension at a time: runners in view of an entry, entries in view of an
# agent, streams and tokens, customers in the configuration, and claims.
NET=102
. tests/lib.sh
IDLE_S=${IDLE_S:-15}		# length of an idle measurement
CLK=$(getconf CLK_TCK)

cpu_us ()			# NAME: processor time so far
{
  awk -v clk="$CLK" '{ printf "%d", ($14 + $15) * 1000000 / clk }' \
    "/proc/${PIDS[$1]}/stat"
}

rss_kb ()			# NAME
{
  awk '/^VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"
}

admin_metric ()			# ENTRY NAME
{
  curl -s "http://127.$NET.2.$1:8001/metrics" \
    | awk -v name="goldcresthatch_$2" '$1 == name { print $2 }'
}

kv_stat ()			# NAME
{
  curl -s "http://$KV/test/stats" | jq ".$1"
}

# Agents 1 to 48 share one runner stand-in, since only their own cost counts.
start_shared_agent ()		# I
{
  cat > "$WORK/agent$1.json" <<EOS
{ "name": "vm$1", "zone": "zone-1", "listen": "127.$NET.1.$1:7200",
  "lock": "127.$NET.1.$1:7201", "endpoint": "127.$NET.1.1:7100",
  "kind": "engine", "service": "chat", "kv": "$KV" }
EOS
  start "agent$1" goldcresthatch-agent --settings "$WORK/agent$1.json"
}

stop_all ()			# PATTERN
{
  local name
  for name in "${!PIDS[@]}"; do
    case $name in
      $1) stop "$name" ;;
    esac
  done
}

# Lets the processes idle and sets the per-second costs of entry 1 and agent 1.
measure_idle ()
{
  local names="bytes_in bytes_out" cpu_e cpu_a in out reads writes
  sleep 5			# connections and first reports
  cpu_e=$(cpu_us entry1) cpu_a=$(cpu_us agent1)
  in=$(admin_metric 1 message_bytes_in_total)
  out=$(admin_metric 1 message_bytes_out_total)
  reads=$(kv_stat reads) writes=$(kv_stat writes)
  sleep "$IDLE_S"
  cpu_e=$((($(cpu_us entry1) - cpu_e) / IDLE_S))
  cpu_a=$((($(cpu_us agent1) - cpu_a) / IDLE_S))
  in=$((($(admin_metric 1 message_bytes_in_total) - in) / IDLE_S))
  out=$((($(admin_metric 1 message_bytes_out_total) - out) / IDLE_S))
  reads=$(((100 * ($(kv_stat reads) - reads)) / IDLE_S))
  writes=$(((100 * ($(kv_stat writes) - writes)) / IDLE_S))
  printf '%10s %8d %8d %8d %8d %8d %8d %6d.%02d %6d.%02d\n' "$1" "$cpu_e" \
    "$(rss_kb entry1)" "$in" "$out" "$cpu_a" "$(rss_kb agent1)" \
    $((reads / 100)) $((reads % 100)) $((writes / 100)) $((writes % 100))
}

idle_header ()			# DIMENSION
{
  printf '\n%10s %8s %8s %8s %8s %8s %8s %9s %9s\n' "$1" "entry" "entry" \
    "in" "out" "agent" "agent" "kv reads" "writes"
  printf '%10s %8s %8s %8s %8s %8s %8s %9s %9s\n' "" "us/s" "KB" "B/s" "B/s" \
    "us/s" "KB" "1/s all" "1/s all"
}

start_kv
start runner1 standin-runner --listen "127.$NET.1.1:7100" --token-us 1000
wait_for "runner" http_ok "127.$NET.1.1:7100/health"

idle_header "runners"
running=0
for count in 6 12 24 48; do
  while [ $running -lt $count ]; do
    running=$((running + 1))
    start_shared_agent $running
  done
  set_vms $(seq $running)
  [ -n "${PIDS[entry1]:-}" ] || start_entry 1
  measure_idle $count
done

idle_header "entries"
for count in 2 4 8 16; do
  for i in $(seq 2 $count); do
    [ -n "${PIDS[entry$i]:-}" ] || start_entry $i
  done
  measure_idle $count
done

printf '\n%10s %14s %14s %14s %14s\n' "streams" "entry us/token" \
  "agent us/token" "bytes/token" "entry KB"
stop_all 'entry[2-9]*'
stop_all 'entry1[0-9]'
for streams in 16 64 128; do
  for i in $(seq 2 48); do
    [ -n "${PIDS[agent$i]:-}" ] && [ $i -gt 4 ] && stop "agent$i"
  done
  set_vms 1 2 3 4
  tokens=$((streams * 4 * 200))
  cpu_e=$(cpu_us entry1)
  cpu_a=0
  for i in 1 2 3 4; do cpu_a=$((cpu_a + $(cpu_us agent$i))); done
  in=$(admin_metric 1 message_bytes_in_total)
  "$BUILD/load-latency" --address "127.$NET.2.1:8000" --model chat \
    --requests $((streams * 4)) --threads "$streams" --tokens 200 \
    > /dev/null || die "load"
  cpu_e=$(($(cpu_us entry1) - cpu_e))
  after=0
  for i in 1 2 3 4; do after=$((after + $(cpu_us agent$i))); done
  in=$(($(admin_metric 1 message_bytes_in_total) - in))
  printf '%10d %14d %14d %14d %14d\n' "$streams" $((cpu_e / tokens)) \
    $(((after - cpu_a) / tokens)) $((in / tokens)) "$(rss_kb entry1)"
done

printf '\n%10s %14s %14s\n' "customers" "document KB" "entry KB"
for customers in 1000 4000 12000; do
  jq -n --argjson n "$customers" '{generation: $n, write_ids: [], sections: {
    customers: {owner: "ops", revision: $n, generation: $n,
      body: ([range($n) | {key: "customer-\(.)", value: {weight: 1}}]
        | from_entries)}}}' > "$WORK/document.json"
  revision=$(curl -s -D - -o /dev/null "http://$KV/kv/config/document" \
    | awk 'tolower($1) == "x-revision:" { print $2 + 0 }')
  curl -sf -X PUT --data-binary "@$WORK/document.json" \
    "http://$KV/kv/config/document?prev=${revision:-0}" > /dev/null \
    || die "document of $customers customers"
  wait_for "generation $customers" \
    [ "$(admin_metric 1 config_generation)" = "$customers" ]
  printf '%10d %14d %14d\n' "$customers" \
    $(($(wc -c < "$WORK/document.json") / 1024)) "$(rss_kb entry1)"
done

printf '\n%10s %14s %14s\n' "bookings" "kv writes each" "kv reads each"
start_runner 49 plain bookings
set_vms 1 2 3 4 49
wait_for "booking" curl -sf -X POST -d first \
  "http://127.$NET.2.1:8000/bookings/new"
for bookings in 100 200 400; do
  reads=$(kv_stat reads) writes=$(kv_stat writes) from=$SECONDS
  "$BUILD/load-client" --entry "127.$NET.2.1:8000" --bookings "$bookings" \
    --booking-path /bookings/new --threads 8 > "$WORK/load.json" || die "load"
  reads=$(($(kv_stat reads) - reads)) writes=$(($(kv_stat writes) - writes))
  printf '%10d %11d.%02d %11d.%02d\n' "$bookings" $((writes / bookings)) \
    $((writes * 100 / bookings % 100)) $((reads / bookings)) \
    $((reads * 100 / bookings % 100))
done
