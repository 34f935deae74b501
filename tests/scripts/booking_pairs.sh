# Guards against a booking that is lost or doubled, or told "not run" though it
# ran, under two faults at once: the second starts while the first lasts.
NET=57
AGENT_EXTRA='"window_ms": 400'
. tests/lib.sh
booking_site
now_ms ()
{
  date +%s%N | cut -c1-13
}

# Waits for the time that a pause is to last, which the fault consists of.
last ()				# MS
{
  local until_ms=$(($(now_ms) + $1))
  wait_for "end of a fault" eval "[ \$(now_ms) -ge $until_ms ]"
}

begin_fault ()			# NAME
{
  case $1 in
    kill_agent) kill_hard agent1 ;;
    kill_entry) kill_hard entry1 ;;
    pause_agent) kill -STOP "${PIDS[agent2]}" ;;
    pause_entry) kill -STOP "${PIDS[entry2]}" ;;
    outage) fault "$KV" "kind=outage&ms=0" ;;
    slow) fault "$KV" "kind=slow&ms=400" ;;
    lose) fault "$KV" "kind=lose-answer&count=20" ;;
    close) fault "127.$NET.1.1:7100" "kind=close&count=5"
      fault "127.$NET.1.2:7100" "kind=close&count=5" ;;
  esac
}

end_fault ()			# NAME
{
  case $1 in
    kill_agent) start_agent 1 plain bookings ;;
    kill_entry) start_entry 1 ;;
    pause_agent) kill -CONT "${PIDS[agent2]}" ;;
    pause_entry) kill -CONT "${PIDS[entry2]}" ;;
    outage | slow) fault "$KV" kind=none ;;
  esac
}

PAIRS="kill_agent:kill_entry kill_agent:pause_agent kill_agent:pause_entry
kill_agent:outage kill_agent:lose kill_agent:close kill_entry:pause_agent
kill_entry:pause_entry kill_entry:outage kill_entry:slow kill_entry:lose
kill_entry:close pause_agent:pause_entry pause_agent:outage pause_agent:lose
pause_agent:close pause_entry:outage pause_entry:lose pause_entry:close
outage:close lose:close"
faults=0
for pair in $PAIRS; do
  ran=$(runs)
  start_bookings 100 --rate 80 --deadline-ms 10000
  wait_for "bookings before $pair" runs_at_least $((ran + 20))
  begin_fault "${pair%:*}"
  last 100
  begin_fault "${pair#*:}"
  last 900
  # The second first: an entry is not ready before it has read the list of VMs.
  end_fault "${pair#*:}"
  end_fault "${pair%:*}"
  faults=$((faults + 2))
  bookings_done
done
booking_verdict $faults
