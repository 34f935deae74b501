# Guards against an operator who can't get from a request's id to its cause.
# The input has a collector's words, another request, a broken line and lines
# out of order.
BUILD=${BUILD:-build}
input=tests/scripts/explain.in
for id in 00000001 00000002 00000003 00000004 00000009; do
  echo "== $id"
  "$BUILD/goldcresthatchctl" explain $id $input 2>&1
  echo "exit status $?"
done
echo "== for programs"
"$BUILD/goldcresthatchctl" --json explain 00000001 $input \
  | jq -c '[.id, .reason, (.lines | length)]'
echo "== usage"
"$BUILD/goldcresthatchctl" explain 00000001 2>&1 | head -1
"$BUILD/goldcresthatchctl" explain 00000001 no/such/file 2>&1
echo "exit status $?"
