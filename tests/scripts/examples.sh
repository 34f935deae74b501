# Guards against an example that the shipped programs refuse, and against
# sections of an example that cannot be written in the order of the document.
NET=67
. tests/lib.sh
PEERS=1
start_kv
start_entry 1

# Prints the examples' JSON without comments, which jq does not read.
plain ()			# FILE
{
  sed -e '/^ *\/\//d' -e 's| // .*||' -e 's| // *$||' "$1"
}

for site in passo-alegre clavija-norte; do
  echo "== $site: settings"
  "$BUILD/goldcresthatch-entry" --settings "examples/$site-entry.json" --check
  for kind in engine plain; do
    "$BUILD/goldcresthatch-agent" --settings "examples/$site-agent-$kind.json" \
      --check
    service=$(plain "examples/$site-agent-$kind.json" | jq -r .service)
    name=$(plain "examples/$site-agent-$kind.json" | jq -r .name)
    plain "examples/$site.json" | jq -c --arg s "$service" --arg n "$name" \
      '[(.sections.models.body, .sections.services.body | has($s)),
        (.sections.fleet.body.runners | has($n))]'
  done
  # No entry of the example runs: that each is asked shows the file was read.
  "$BUILD/goldcresthatchctl" --settings "examples/$site-ctl.json" status \
    > "$WORK/status" 2>&1
  echo "ctl.json: exit status $?, $(wc -l < "$WORK/status") peers asked"

  echo "== $site: sections"
  for section in models services priorities customers fleet limits site; do
    plain "examples/$site.json" | jq ".sections.$section.body" \
      > "$WORK/$section.json"
    ctl config check "$WORK/$section.json" $section | sed "s|$WORK/||"
    base=$(ctl --json config get $section | jq .revision)
    edit $section "$base" example < "$WORK/$section.json"
    ctl --json config get $section | jq -S .body \
      | diff - <(jq -S . "$WORK/$section.json") && echo "held as written"
  done
  # The other site's customers and runners name this site's priorities and
  # models, so they are emptied before the next site is written.
  for section in fleet customers priorities; do
    base=$(ctl --json config get $section | jq .revision)
    echo '{}' | edit $section "$base" example > "$WORK/emptied" \
      || die "$section: $(cat "$WORK/emptied")"
  done
done
stop entry1
