# Guards against a hop that is missing from a trace, stands under the wrong
# parent or hands on the wrong traceparent, and against operators' pages on the
# callers' address.
NET=60
. tests/lib.sh
TRACE=0123456789abcdef0123456789abcdef
PARENT=00f067aa0ba902b7

# Prints the spans of a trace as a tree: process, instance and name.
show ()				# TRACE
{
  curl -s "http://127.$NET.2.1:8001/admin/trace?id=$1" | jq -r --arg top $PARENT '
    [.resourceSpans[] | (.resource.attributes | map(.value.stringValue)
      | join(" ")) as $who | .scopeSpans[].spans[] | . + {who: $who}] as $all
    | def tree($id; $indent): $all | map(select(.parentSpanId == $id))
        | sort_by(.startTimeUnixNano, .name)[]
        | "\($indent)\(.name): \(.who)\(if .status.code == 2
             then ", " + .status.message else "" end)",
          tree(.spanId; $indent + "  ");
      tree($top; "")'
}

start_kv
start_runner 1 plain bookings
set_vms 1
start_entry 1
wait_for "bookings" curl -sf "http://127.$NET.2.1:8000/bookings/status"

echo "== hops of a booking"
curl -s -X POST -d 'seat 1' -H "traceparent: 00-$TRACE-$PARENT-01" \
  "http://127.$NET.2.1:8000/bookings/new"
echo
show $TRACE
echo "== the runner's parent is the run span"
run=$(curl -s "http://127.$NET.2.1:8001/admin/trace?id=$TRACE" \
  | jq -r '.resourceSpans[].scopeSpans[].spans[] | select(.name == "run").spanId')
[ "$(curl -s "http://127.$NET.1.1:7100/test/traceparent")" \
  = "00-$TRACE-$run-01" ] && echo same
echo "== a refused request"
curl -s -o /dev/null -X POST -d x -H "traceparent: 00-${TRACE//0/f}-$PARENT-01" \
  "http://127.$NET.2.1:8000/unknown/new"
show "${TRACE//0/f}"
echo "== not a trace id"
curl -s -w '%{http_code}\n' "http://127.$NET.2.1:8001/admin/trace?id=xyz"
echo "== operators' pages on the callers' address"
for page in admin/trace?id=$TRACE admin/warnings admin metrics; do
  curl -s -o /dev/null -w '%{http_code}\n' "http://127.$NET.2.1:8000/$page"
done
stop entry1
stop agent1
