# Measures the costs per unit that docs/CAPACITY.md multiplies by stated sizes,
# one dimension at a time: runners known to an entry, entries known to an
# agent, streams and tokens, customers in the configuration, claims, the
# operators' command, and listed VMs that can't be reached.  Idle costs are
# measured twice (rows a and b), since processor times on a shared machine are
# noisy.  SECTIONS selects some of the sections.
NET=28
PEERS=16
. tests/lib.sh
WINDOW_S=${WINDOW_S:-7}		# length of an idle measurement
SECTIONS=${SECTIONS:-runners entries streams customers claims ctl vms}
SETTLE_S=${SETTLE_S:-4}		# time for connections and first reports
CLK=$(getconf CLK_TCK)
STANDINS=4			# runner stand-ins, shared by the agents

cpu_us ()			# NAME...: processor time used so far
{
  local name files=
  for name in "$@"; do
    files="$files /proc/${PIDS[$name]}/stat"
  done
  # shellcheck disable=SC2086
  awk -v clk="$CLK" '{ sum += $14 + $15 } END {
    printf "%d", sum * 1000000 / clk }' $files
}

# Processor time at a finer resolution than cpu_us, but without the threads
# that have ended.
idle_cpu_us ()			# NAME
{
  cat /proc/"${PIDS[$1]}"/task/*/schedstat \
    | awk '{ sum += $1 } END { printf "%d", sum / 1000 }'
}

memory_kb ()			# NAME FIELD
{
  awk -v field="$2:" '$1 == field { print $2 }' "/proc/${PIDS[$1]}/status"
}

kv_stat ()			# NAME
{
  curl -s "http://$KV/test/stats" | jq ".$1"
}

# Agents share runner stand-ins, since only the cost of the agent is measured.
start_shared_agent ()		# I
{
  cat > "$WORK/agent$1.json" <<EOS
{ "name": "vm$1", "zone": "zone-$((($1 - 1) % 3 + 1))",
  "listen": "127.$NET.1.$1:7200", "lock": "127.$NET.1.$1:7201",
  "endpoint": "127.$NET.1.$((($1 - 1) % STANDINS + 1)):7100",
  "kind": "engine", "service": "chat", "kv": "$KV" }
EOS
  start "agent$1" goldcresthatch-agent --settings "$WORK/agent$1.json"
}

# Stops processes in parallel.
end_all ()			# NAME...
{
  local name
  for name in "$@"; do
    [ -z "${PIDS[$name]:-}" ] || kill -TERM "${PIDS[$name]}"
  done
  for name in "$@"; do
    [ -z "${PIDS[$name]:-}" ] || wait "${PIDS[$name]}"
    unset "PIDS[$name]"
  done
}

# Prints the values that idle_row compares: counters of entry 1 and of the
# key-value service, and processor times.
sample ()
{
  curl -s "http://127.$NET.2.1:8001/metrics" | awk '
    { sub (/^goldcresthatch_/, ""); value[$1] = $2 }
    END { printf "%d %d %d %d %d ", value["messages_in_total"],
      value["messages_out_total"], value["message_bytes_in_total"],
      value["message_bytes_out_total"], value["kv_reads_total"] }'
  curl -s "http://$KV/test/stats" | jq -r '"\(.reads) \(.writes)"' | tr '\n' ' '
  echo "$(idle_cpu_us entry1) $(idle_cpu_us agent1) $(date +%s%N)"
}

idle_header ()			# DIMENSION
{
  printf '\n%-12s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s\n' \
    "$1" entry entry in in out out kv agent agent "all kv" "all kv" watches
  printf '%-12s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s\n' "" us/s KB \
    msg/s B/s msg/s B/s reads/s us/s KB reads/s writes/s ""
}

idle_row ()			# LABEL
{
  local run before after
  sleep "$SETTLE_S"
  for run in a b; do
    before=$(sample)
    sleep "$WINDOW_S"
    after=$(sample)
    echo "$before $after" | awk -v label="$1 $run" \
      -v entry="$(memory_kb entry1 VmRSS)" -v agent="$(memory_kb agent1 VmRSS)" \
      -v watches="$(kv_stat watches)" '{
        s = ($20 - $10) / 1e9
        for (i = 1; i <= 9; i++)
          rate[i] = ($(i + 10) - $i) / s
        printf "%-12s %7.0f %7d %7.1f %7.0f %7.1f %7.0f %7.1f %7.0f %7d", \
          label, rate[8], entry, rate[1], rate[3], rate[2], rate[4], \
          rate[5], rate[9], agent
        printf " %7.1f %7.1f %7d\n", rate[6], rate[7], watches
      }'
  done
}

# Runs agents 1 to COUNT and entry 1.
site ()				# COUNT
{
  local i
  for i in $(seq "$1"); do
    [ -n "${PIDS[agent$i]:-}" ] || start_shared_agent "$i"
  done
  # shellcheck disable=SC2046
  set_vms $(seq "$1")
  [ -n "${PIDS[entry1]:-}" ] || start_entry 1
}

# The value of the key config/document; section customers has generation G.
document ()			# G GENERATION-OF-LIMITS CUSTOMERS
{
  jq -nc --argjson g "$1" --argjson l "$2" --argjson n "$3" '{
    generation: ([$g, $l] | max), write_ids: [], sections: {
      priorities: {owner: "ops", revision: 1, generation: 1,
        body: {standard: {level: 0, share: 50}}},
      limits: {owner: "ops", revision: $l, generation: $l,
        body: {queue_max: 100}},
      customers: {owner: "ops", revision: $g, generation: $g,
        body: ([range($n) | {key: "customer-\(.)",
          value: {weight: $g, priority: "standard"}}] | from_entries)}}}' \
    > "$WORK/document.json"
  curl -sf -X PUT --data-binary "@$WORK/document.json" \
    "http://$KV/kv/config/document?prev=$(curl -s -o /dev/null \
      -w '%header{x-revision}' "http://$KV/kv/config/document")" > /dev/null \
    || die "document"
}

delta_bytes ()			# HAVE
{
  curl -s "http://127.$NET.2.1:8001/admin/config?have=$1" | wc -c
}

agents_at ()			# GENERATION
{
  [ "$(curl -s "http://127.$NET.2.1:8001/admin/status" | jq -c \
    '[.runners[].generation] | unique')" = "[$1]" ]
}

measure_runners ()
{
  local running=0 count
  idle_header "runners"
  for count in 6 12 24 48; do
    while [ $running -lt $count ]; do
      running=$((running + 1))
      start_shared_agent $running
    done
    # shellcheck disable=SC2046
    set_vms $(seq $running)
    [ -n "${PIDS[entry1]:-}" ] || start_entry 1
    idle_row $count
  done
  # shellcheck disable=SC2046
  end_all $(seq -f 'agent%g' 5 48)
}

measure_entries ()
{
  local count i
  idle_header "entries"
  site 12
  for count in 2 4 8 16; do
    for i in $(seq 2 $count); do
      [ -n "${PIDS[entry$i]:-}" ] || start_entry "$i"
    done
    idle_row $count
  done
  # shellcheck disable=SC2046
  end_all $(seq -f 'entry%g' 2 16) $(seq -f 'agent%g' 5 12)
}

measure_streams ()
{
  local streams calls before after
  site 4
  wait_for "chat" serves 1 chat
  printf '\n%-12s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n' "streams" entry agent \
    "in msg/" "in B/" "out msg/" "out B/" entry agent tokens/s
  printf '%-12s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n' "" us/token us/token \
    token token call call "peak KB" "peak KB"
  for streams in 16 32 64 128; do
    calls=$((streams * 4))
    before="$(cpu_us entry1) $(cpu_us agent1 agent2 agent3 agent4) $(sample)"
    "$BUILD/load-latency" --address "127.$NET.2.1:8000" --model chat \
      --requests $calls --threads $streams --tokens 200 > /dev/null || die "load"
    after="$(cpu_us entry1) $(cpu_us agent1 agent2 agent3 agent4) $(sample)"
    echo "$before $after" | awk -v streams=$streams -v calls=$calls \
      -v entry="$(memory_kb entry1 VmHWM)" -v agent="$(memory_kb agent1 VmHWM)" '{
        tokens = calls * 200
        printf "%-12d %9.1f %9.1f %9.2f %9.1f %9.1f %9.0f %9d %9d %9.0f\n", \
          streams, ($13 - $1) / tokens, ($14 - $2) / tokens, \
          ($15 - $3) / tokens, ($17 - $5) / tokens, ($16 - $4) / calls, \
          ($18 - $6) / calls, entry, agent, tokens * 1e9 / ($24 - $12)
      }'
  done
  echo "bytes of a stream to its caller per token:" "$(curl -s -N \
    "http://127.$NET.2.1:8000/v1/chat/completions" \
    -H 'Content-Type: application/json' -d '{"model": "chat", "stream": true,
    "max_tokens": 200, "messages": [{"role": "user", "content": "x"}]}' \
    | wc -c | awk '{ printf "%.0f", $1 / 200 }')"
}

measure_customers ()
{
  local generation=10 customers before change customer limits
  site 4
  printf '\n%-12s %9s %9s %9s %9s %9s %9s %9s %9s\n' customers document \
    customer limits entry agent entry agent "entry us"
  printf '%-12s %9s %9s %9s %9s %9s %9s %9s %9s\n' "" B "delta B" "delta B" \
    KB KB "us/s idle" "us/s idle" "a change"
  for customers in 1000 4000 12000; do
    document $((generation + 1)) 1 $customers
    wait_for "generation" agents_at $((generation + 1))
    before=$(cpu_us entry1)
    document $((generation + 2)) 1 $customers
    wait_for "generation" agents_at $((generation + 2))
    change=$(($(cpu_us entry1) - before))
    customer=$(delta_bytes $((generation + 1)))
    document $((generation + 2)) $((generation + 3)) $customers
    wait_for "generation" agents_at $((generation + 3))
    limits=$(delta_bytes $((generation + 2)))
    before="$(cpu_us entry1) $(cpu_us agent1)"
    sleep "$WINDOW_S"
    echo "$before $(cpu_us entry1) $(cpu_us agent1)" | awk -v n=$customers \
      -v document="$(wc -c < "$WORK/document.json")" -v customer="$customer" \
      -v limits="$limits" -v entry="$(memory_kb entry1 VmRSS)" \
      -v agent="$(memory_kb agent1 VmRSS)" -v s="$WINDOW_S" -v change="$change" '{
        printf "%-12d %9d %9d %9d %9d %9d %9.0f %9.0f %9d\n", n, document, \
          customer, limits, entry, agent, ($3 - $1) / s, ($4 - $2) / s, change }'
    generation=$((generation + 10))
  done
}

measure_claims ()
{
  local bookings before
  site 4
  start_runner 49 plain bookings
  set_vms 1 2 3 4 49
  wait_for "booking" curl -sf -X POST -d first \
    "http://127.$NET.2.1:8000/bookings/new"
  if [ "$(metric 1 claims_total)" -eq 0 ]; then
    printf '\nclaims: not run, since this build makes none\n'
    return
  fi
  printf '\n%-12s %14s %14s\n' "bookings" "kv writes each" "kv reads each"
  for bookings in 100 200 400; do
    before="$(kv_stat reads) $(kv_stat writes) $(date +%s%N)"
    "$BUILD/load-client" --entry "127.$NET.2.1:8000" --bookings "$bookings" \
      --booking-path /bookings/new --threads 8 > "$WORK/load.json" || die "load"
    # The number of reads includes the idle reads of these processes.
    echo "$before $(kv_stat reads) $(kv_stat writes)" | awk -v n="$bookings" '{
      printf "%-12d %14.2f %14.2f\n", n, ($5 - $2) / n, ($4 - $1) / n }'
  done
}

# Status, drain and undrain by the operators' command, which waits until the
# change is in force at every peer.
measure_ctl ()
{
  local peers i word before
  site 4
  printf '\n%-8s %-8s %12s %12s %10s %10s\n' "peers" "command" "processor ms" \
    "elapsed s" "kv reads" "kv writes"
  for peers in 2 4 8; do
    for i in $(seq 2 $peers); do
      [ -n "${PIDS[entry$i]:-}" ] || start_entry "$i"
    done
    for word in status drain undrain; do
      before="$(kv_stat reads) $(kv_stat writes)"
      local TIMEFORMAT='%U %S %R'
      { time PEERS=$peers ctl_command $word >> "$WORK/ctl.log" 2>&1; } \
        2> "$WORK/times"
      # The counts include the idle reads and lease renewals of the site.
      echo "$before $(kv_stat reads) $(kv_stat writes) $(cat "$WORK/times")" \
        | awk -v peers="$peers" -v word="$word" '{
          printf "%-8d %-8s %12.0f %12.2f %10d %10d\n", peers, word,
            ($5 + $6) * 1000, $7, $3 - $1, $4 - $2 }'
    done
  done
}

ctl_command ()			# WORD
{
  if [ "$1" = status ]; then
    ctl status
  else
    ctl "$1" vm2 --operator ops --credential-file <(echo secret)
  fi
}

measure_vms ()
{
  local count
  # All VMs but four don't exist, like those of a failed availability zone that
  # are still listed.
  idle_header "VMs listed"
  site 4
  for count in 75 150 300 600; do
    seq 5 "$count" | jq -s --arg net "127.$NET.1" 'map({name: "vm\(.)",
      address: "\($net).\(. % 250 + 1):\(7300 + . / 250 | floor)",
      zone: "zone-1", state: "live"})
      + [range(1; 5) | {name: "vm\(.)", address: "\($net).\(.):7200",
         zone: "zone-\((. - 1) % 3 + 1)", state: "live"}]' > "$WORK/vms.json"
    curl -sf -X PUT --data-binary "@$WORK/vms.json" "http://$KV/vms" > /dev/null \
      || die "list of $count VMs"
    idle_row $count
  done
  echo "bytes of the list per VM: $(curl -s "http://$KV/vms" | wc -c \
    | awk '{ printf "%.0f", $1 / 600 }')"
}

start_kv
for i in $(seq $STANDINS); do
  start "runner$i" standin-runner --listen "127.$NET.1.$i:7100" --token-us 5000
done
for i in $(seq $STANDINS); do
  wait_for "runner $i" http_ok "127.$NET.1.$i:7100/health"
done

for section in $SECTIONS; do
  "measure_$section"
done
