#!/bin/bash
# Verifies model/call.pml: no error with all guards, and an error without
# each.
set -u
cd "$(dirname "$0")"
model=$PWD/call.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# Prints the verdict and the number of states; fails when it is not EXPECTED.
verify ()			# NAME EXPECTED SPIN-FLAG...
{
  local name=$1 expected=$2 errors states
  shift 2
  mkdir "$dir/$name" && cd "$dir/$name" || return 1
  if ! { spin -a "$@" "$model" \
    && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1800 -o pan pan.c \
    && ./pan -E -m200000 -w22; } > pan.log 2>&1; then
    tail -20 pan.log
    return 1
  fi
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
  echo "$name: ${errors:-no count of} errors, ${states:-no count of} states"
  # An incomplete search does not prove the absence of errors.
  if grep -qE 'search depth too small|reached -DMEMLIM|out of memory' pan.log
  then
    echo "$name: the search was cut short"
    return 1
  fi
  [ "$errors" = "$expected" ]
}

status=0
verify call-and-resend 0 -DN=2 || status=1
# Three requests with three windows exceed the limits on time and memory.
verify later-resend 0 -DN=3 -DWINDOW_MAX=1 || status=1
for guard in INCARNATION WINDOW VOID CREATE FREE DROPPED; do
  verify "without-$guard" 1 -DN=2 "-DNO_GUARD_$guard" || status=1
done
exit $status
