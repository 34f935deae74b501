# Guards against broken settings that are accepted, and against an error that
# does not name the file, the line, the member and what was expected.
NET=63
. tests/lib.sh
WORK_FILE=settings.json

check ()			# PROGRAM < SETTINGS
{
  cat > "$WORK/$WORK_FILE"
  (cd "$WORK" && "$PROGRAM" --settings "$WORK_FILE" --check 2>&1)
  echo "exit $?"
}

# Checks the valid settings of an agent with one line in place of MEMBER's.
with ()				# MEMBER LINE
{
  echo "-- $2"
  sed "s~^  \"$1\":.*~  LINE~" > "$WORK/base" << 'EOS'
{
  // an agent
  "name": "vm1",
  "zone": "zone-1",
  /* addresses, "listen":
     for entries */
  "listen": "127.0.0.1:7200",
  "lock": "127.0.0.1:7201",
  "endpoint": "127.0.0.1:7100",
  "kind": "engine",
  "service": "chat",
  "capacity": 32,
  "kv": "127.0.0.1:7000"
}
EOS
  awk -v line="$2" '$1 == "LINE" { print line; next } { print }' \
    "$WORK/base" | check
}

case $BUILD in
  /*) ;;
  *) BUILD=$PWD/$BUILD ;;
esac
long=$(printf 'x%.0s' {1..300})

PROGRAM=$BUILD/goldcresthatch-agent
echo "== members of the agent"
with name '  "name": "vm1",'
with name '  "name": 5,'
with name '  "name": "",'
with name '  "name": null,'
with name '  "name": ["vm1"],'
with name '  "name": {"a": 1},'
with name '  "name": "a\\u0000b",'
with name "  \"name\": \"${long:0:64}\","
with name ""
with name '  "nmae": "vm1",'
with name '  "name": "vm1", "name": "vm2",'
with zone '  "zone": true,'
with listen '  "listen": "127.0.0.1",'
with listen '  "listen": "127.0.0.1:",'
with listen '  "listen": "127.0.0.1:0",'
with listen '  "listen": "127.0.0.1:65536",'
with listen '  "listen": "127.0.0.1:80x",'
with listen '  "listen": "127.0.0.256:80",'
with listen '  "listen": "host:80",'
with listen '  "listen": "[::1]:80",'
with listen '  "listen": 7200,'
with listen "  \"listen\": \"$long\","
with kind '  "kind": "Engine",'
with kind '  "kind": "engine|plain",'
with kind '  "kind": "",'
with capacity '  "capacity": 0,'
with capacity '  "capacity": 1025,'
with capacity '  "capacity": -1,'
with capacity '  "capacity": 1.5,'
with capacity '  "capacity": "32",'
with capacity '  "capacity": 99999999999999999999,'
with capacity '  "capacity": true,'
with kv '  "kv": "127.0.0.1:7000", "log_level": "loud"'
with kv '  "kv": "127.0.0.1:7000", "capacity": 32'
with kv '  "kv": "127.0.0.1:7000", "drain_limit_s": 3601'

echo "== files"
for text in '' '{' '}' '[]' '5' '"x"' 'null' '{}' '{"name"}' '{"name":}' \
  '{"name":"vm1"' '{"name":"vm1",,}' '{"name":"vm1\n' '{name:"vm1"}' \
  '/* open' '{"\\u0001\\n":1}' '\0001\0002\0377' \
  '{"name":"a"\n,\n"name":"b"}\n\ntrailing'; do
  echo "-- $text"
  printf "%b" "$text" | check
done

PROGRAM=$BUILD/goldcresthatch-entry
echo "== lists of the entry"
for list in '[]' '["127.0.0.1:1", 5]' '["127.0.0.1:1", "x"]' '"127.0.0.1:1"' \
  "[$(printf '"127.0.0.1:1",%.0s' {1..64})\"127.0.0.1:1\"]"; do
  echo "-- ${list:0:60}"
  printf '{"name":"e","zone":"z","listen":"127.0.0.1:1","admin":"127.0.0.1:2",
"kv":"127.0.0.1:3",
"config_peers":%s}\n' "$list" | check
done

PROGRAM=$BUILD/goldcresthatch-gateway
echo "== numbers of the gateway"
for value in 0.5 1 0 -0.1 1.01 '"0.5"' null 1e400; do
  echo "-- $value"
  printf '{"node":"g","zone":"z","listen_front":"127.0.0.1:1",
"listen_ready":"127.0.0.1:2","store":"127.0.0.1:3", // shares
"prefill_share":%s}\n' "$value" | check
done
