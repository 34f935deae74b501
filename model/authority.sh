#!/bin/bash
# Verifies model/authority.pml: no error with all guards, and a violated
# assertion without each.  Prints the number of states of each run.
set -u
model=$(cd "$(dirname "$0")" && pwd)/authority.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 1
failed=0

verify ()			# EXPECTED NAME [DEFINE]
{
  local errors states reason
  : > pan.log
  # -E: a run may end with a process waiting.
  spin -a ${3:+-D"$3"} "$model" > spin.log 2>&1 \
    && gcc -O2 -w -DSAFETY -DMEMLIM=1500 -DCOLLAPSE -o pan pan.c \
    && ./pan -E -m1000000 > pan.log 2>&1
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
  reason=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' pan.log)
  echo "$2: errors ${errors:-none reported}, ${states:-0} states${reason:+, $reason}"
  # An incomplete search does not prove the absence of errors.
  if grep -q -e 'max search depth too small' -e 'out of memory' \
    -e 'Search not completed' pan.log && [ "$1" = 0 ]; then
    echo "$2: the search was not complete"
    failed=1
  fi
  if [ "$1" = 0 ]; then
    [ "${errors:-x}" = 0 ] || failed=1
  else
    [ "${errors:-0}" -ge 1 ] && [[ ${reason:-} == assertion* ]] || failed=1
  fi
  rm -f pan pan.* spin.log
}

verify 0 "all guards"
for guard in READ VOID RECHECK WAIT QUERY; do
  verify 1 "without $guard" "NO_GUARD_$guard"
done
[ $failed -eq 0 ] || echo "the model does not hold"
exit $failed
