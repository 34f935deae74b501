# Shell functions of the scripted runs on orders; sourced after lib.sh.

GENERATION=0

# Puts a document with VERSION of the model "chat" and, optionally, the members
# of one runner, such as: vm1 '"drain": true'.
set_config ()			# VERSION [RUNNER MEMBERS]
{
  local revision runners='"vm0": {}'
  [ $# -gt 1 ] && runners="\"$2\": { $3 }"
  GENERATION=$((GENERATION + 1))
  revision=$(curl -s -o /dev/null -w '%header{x-revision}' \
    "http://$KV/kv/config/document")
  curl -sf -X PUT -d "{\"generation\": $GENERATION, \"sections\": {
    \"models\": { \"owner\": \"o\", \"revision\": $GENERATION,
      \"generation\": $GENERATION,
      \"body\": { \"chat\": { \"version\": \"$1\", \"max_output_tokens\": 64 }}},
    \"fleet\": { \"owner\": \"o\", \"revision\": $GENERATION,
      \"generation\": $GENERATION, \"body\": { \"runners\": { $runners }}}}}" \
    "http://$KV/kv/config/document?prev=${revision:-0}" > /dev/null \
    || die "set_config"
}

holds ()			# ENTRY ZONE
{
  [ "$(curl -s "http://$KV/kv/authority/$2" | jq -r .holder)" = "entry$1" ]
}

token ()			# ZONE
{
  curl -s -o /dev/null -w '%header{x-revision}' "http://$KV/kv/authority/$1"
}

state_is ()			# RUNNER MEMBER VALUE
{
  [ "$(curl -s -m 5 "http://127.$NET.1.$1:7100/state" | jq -r ".$2")" = "$3" ]
}

wait_version ()			# VERSION RUNNER...
{
  local version=$1 i
  shift
  for i in "$@"; do
    wait_for "version $version on runner $i" state_is "$i" version "$version"
  done
}

hold_orders ()			# RUNNER ON
{
  curl -sf -X POST "http://127.$NET.1.$1:7100/test/hold?on=$2" > /dev/null
}

logged ()			# PROCESS TEXT
{
  grep -q "$2" "$WORK/$1.log"
}

# Prints the versions that runner I applied, whether a token went down in its
# log, and the number of orders that met another in progress.
print_orders ()			# RUNNER
{
  curl -s "http://127.$NET.1.$1:7100/test/log" \
    | jq -c '{versions: map(.version),
              in_order: (map(.token) == (map(.token) | sort))}'
  echo "conflicting $(curl -s "http://127.$NET.1.$1:7100/state" \
    | jq .conflicting)"
}
