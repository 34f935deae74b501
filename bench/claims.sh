# Measures the cost of a claim beside an idempotent call to the same service:
# key-value reads and writes per call, and latency without faults.
NET=${NET:-58}
. tests/lib.sh
CALLS=${CALLS:-2000}

kv_stat ()			# NAME
{
  curl -s "http://$KV/test/stats" | jq ".$1"
}

# Prints curl's settings for one call whose results are listed under NAME.
one_call ()			# NAME METHOD NUMBER
{
  cat << EOS
url = "http://127.$NET.2.1:8000/bookings/new"
request = $2
output = /dev/null
header = "Idempotency-Key: $1-$3"
data = "{\"booking\":\"$1-$3\"}"
write-out = "$1 %{http_code} %{time_total}\n"
next
EOS
}

# Sends the calls read from standard input over one connection, and prints the
# number of key-value reads and writes that they caused.
send_calls ()			# NAME CALLS
{
  local reads writes
  sed '$d' > "$WORK/calls"
  reads=$(kv_stat reads) writes=$(kv_stat writes)
  curl -s -K "$WORK/calls" > "$WORK/times" || die "calls"
  reads=$(($(kv_stat reads) - reads)) writes=$(($(kv_stat writes) - writes))
  echo "$1: $2 calls, $reads reads, $writes writes," \
    "$(metric 1 claims_total) claims so far, in $SECONDS s since the start"
}

latencies ()			# NAME
{
  awk -v name="$1" '$1 == name { print $2, $3 * 1000 }' "$WORK/times" \
    | sort -k2 -n | awk -v name="$1" '
    { ok += $1 == 200; t[NR] = $2 }
    END {
      printf "%-10s ok %d/%d p50 %.3f ms p95 %.3f ms\n", \
	name, ok, NR, t[int(NR * .5)], t[int(NR * .95)]
    }'
}

booking_site
stop entry2			# its reads of the VM list would be counted
for i in $(seq "$CALLS"); do one_call warm GET "$i"; done \
  | send_calls "idempotent" "$CALLS"
for i in $(seq "$CALLS"); do one_call only POST "$i"; done \
  | send_calls "bookings" "$CALLS"
for i in $(seq "$CALLS"); do
  one_call idempotent GET "$i"
  one_call booking POST "$i"
done | send_calls "alternating" $((2 * CALLS))
latencies idempotent
latencies booking
