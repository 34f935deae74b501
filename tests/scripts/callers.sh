# Guards against a callers' page whose examples do not print what it shows.
NET=64
. tests/lib.sh
PAGE=docs/callers.md

# Splits the page into example N (N.sh) and what it prints (N.text).
split_page ()
{
  awk -v dir="$WORK" '
    /^```sh$/ { n++; file = dir "/" n ".sh"; next }
    /^```text$/ { file = dir "/" n ".text"; next }
    /^```$/ { file = ""; next }
    file != "" { print > file }
    END { print n }' $PAGE
}

start_kv
start_runner 1 engine chat
start_runner 2 plain bookings
set_vms 1 2
start_entry 1
wait_for "chat" serves 1 chat
wait_for "bookings" curl -sf "http://127.$NET.2.1:8000/bookings/status"

count=$(split_page)
for ((n = 1; n <= count; n++)); do
  ENTRY=127.$NET.2.1:8000 bash "$WORK/$n.sh" > "$WORK/$n.got" 2>&1
  diff "$WORK/$n.text" "$WORK/$n.got" && echo "example $n: as shown"
done
stop entry1
