#!/bin/bash
# Fault soak of the gateways: tests/soak.sh SEED [SECONDS] [GATEWAYS] [MODE].
#
# Starts the gateways and the world around them (soak_world.c) as separate
# processes on the loopback, and stops, pauses, kills and restarts the gateways
# by signals drawn from SEED.  Prints "promises kept" or what was broken.  MODE
# is that of the world; with one there are fewer signals, so that most gateways
# run long enough to learn what the world does.
set -u
cd "$(dirname "$0")/.."
SEED=${1:?SEED}
SECONDS_RUN=${2:-40}
COUNT=${3:-3}
MODE=${4:-}
NET=$((100 + SEED % 100))
. tests/lib.sh

RANDOM=$SEED
CALM=9				# as in soak_world.c

settings ()			# NUMBER
{
  cat > "$WORK/gw$1.json" <<END
{ // gateway $1
  "node": "gw$1", "zone": "z",
  "listen_front": "127.$NET.4.$1:8000", "listen_ready": "127.$NET.4.$1:8001",
  "listen_relay": "127.$NET.4.$1:8003", "listen_load": "127.$NET.4.$1:8004",
  "link_mbit": $(($1 == 1 ? 1000 : 100)), "store": "127.$NET.3.1:7000",
  "lease_ms": 1000, "grace_ms": 4000, "repeat_slack": 200,
  "prefill_share": 0.5, "direct_tokens": 1000 }
END
}

# Tells the world that a gateway may not know what it was told before.
excuse ()			# NUMBER
{
  kill "-SIGRTMIN+$1" "${PIDS[world]}" 2> /dev/null
}

start_gateway ()		# NUMBER
{
  start "gw$1" goldcresthatch-gateway --settings "$WORK/gw$1.json"
}

restart_if_ended ()		# NUMBER
{
  kill -0 "${PIDS[gw$1]}" 2> /dev/null && return
  excuse "$1"
  start_gateway "$1"
}

start world soak-world "$NET" "$SEED" "$SECONDS_RUN" "$COUNT" ${MODE:+"$MODE"}
for n in $(seq "$COUNT"); do
  settings "$n"
  start_gateway "$n"
done
end=$((SECONDS + SECONDS_RUN - CALM))
while [ $SECONDS -lt $end ]; do
  sleep "0.$((RANDOM % 9 + 1))"
  [ -z "$MODE" ] || sleep 3
  n=$((RANDOM % COUNT + 1))
  case $((RANDOM % 5)) in
    0) kill -TERM "${PIDS[gw$n]}" 2> /dev/null ;;
    1) kill -KILL "${PIDS[gw$n]}" 2> /dev/null ;;
    2) kill -STOP "${PIDS[gw$n]}" 2> /dev/null
       sleep "0.$((RANDOM % 9 + 1))"
       kill -CONT "${PIDS[gw$n]}" 2> /dev/null
       excuse "$n" ;;
    3) kill -HUP "${PIDS[gw$n]}" 2> /dev/null ;;
  esac
  for n in $(seq "$COUNT"); do
    restart_if_ended "$n"
  done
done 2> /dev/null
for n in $(seq "$COUNT"); do
  kill -CONT "${PIDS[gw$n]}" 2> /dev/null
  restart_if_ended "$n"
done
# A gateway that is still stopping ends within its grace time.
while kill -0 "${PIDS[world]}" 2> /dev/null; do
  for n in $(seq "$COUNT"); do
    restart_if_ended "$n"
  done
  sleep 0.2
done
wait "${PIDS[world]}"
status=$?
grep -h "^broken\|^promises" "$WORK/world.log"
grep -h "requests, of the last\|runners left" "$WORK/world.log" >&2
[ -z "${KEEP:-}" ] || cp -r "$WORK" "$KEEP"
exit $status
