# Guards against an answer that reaches another request or is not whole when
# answers arrive late and crossed, among them answers of an attempt that the
# entry has given up and resumed elsewhere.
NET=75
. tests/lib.sh
start_kv
list=
for i in 1 2 3 4 5; do
  kind=engine service=chat
  [ $i -gt 3 ] && kind=plain service=bookings
  if [ $kind = plain ]; then
    start_runner $i plain bookings
  else
    start_runner $i engine chat --token-us 20000
  fi
  start_link link$i "127.$NET.1.1$i:7200" "127.$NET.1.$i:7200" \
    "127.$NET.1.1$i:7300"
  set_link "127.$NET.1.1$i:7300" 'kind=delay&ms=200'
  list="$list${list:+,}{\"name\":\"vm$i\",\"address\":\"127.$NET.1.1$i:7200\",\"zone\":\"zone-1\",\"state\":\"live\"}"
done
curl -sf -X PUT -d "[$list]" "http://$KV/vms" > /dev/null || die "list"
PEERS=3
for i in 1 2 3; do start_entry $i; done
for i in 1 2 3 4 5; do
  for entry in 1 2 3; do
    wait_for "runner $i" runner_is $entry $i serving
  done
done

start_load --entry "127.$NET.2.1:8000" --entry "127.$NET.2.2:8000" \
  --entry "127.$NET.2.3:8000" --chats 1000000 --bookings 400000 \
  --booking-path /bookings/new --threads 24
for entry in 1 2 3; do
  wait_for "load on entry $entry" metric_at_least $entry active_calls 3
done
resumes ()			# prints the streams resumed
{
  local entry
  for entry in 1 2 3; do
    metric $entry resumes_total
  done | jq -s add
}

# Which requests are on runner 1 when its link goes silent is open, so this is
# repeated until some of them were streams that had begun.
for round in 1 2 3 4 5 6 7 8; do
  busy () { [ "$(engine_state 1 running)" -ge 3 ]; }
  wait_for "work on runner 1" busy
  set_link "127.$NET.1.11:7300" kind=silent
  for entry in 1 2 3; do
    wait_for "silence at entry $entry" runner_is $entry 1 silent
  done
  # What the link holds back arrives now, after the attempts were given up.
  set_link "127.$NET.1.11:7300" 'kind=delay&ms=200'
  for entry in 1 2 3; do
    wait_for "return at entry $entry" runner_is $entry 1 serving
    wait_for "requests" metric_at_least $entry requests_total \
      $(($(metric $entry requests_total) + 30))
  done
  [ "$(resumes)" -ge 1 ] && break
done
[ "$(resumes)" -ge 1 ] || die "no stream was resumed"
end_load 100
echo "bookings run more than once: $(for i in 4 5; do
  curl -s "http://127.$NET.1.$i:7100/test/runs"; done \
  | jq -s 'map(to_entries) | add | group_by(.key)
    | map(select((map(.value) | add) > 1)) | length')"
for i in 1 2 3; do stop entry$i; done
for i in 1 2 3 4 5; do stop agent$i; done
