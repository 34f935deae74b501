#!/bin/bash
# Verifies model/config.pml: no error with all guards, an error without each.
set -u
model=$(cd "$(dirname "$0")" && pwd)/config.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

run ()				# EXPECTED-ERRORS FLAG...
{
  local expected=$1 errors states
  shift
  rm -rf "$dir/run" && mkdir "$dir/run" && cd "$dir/run" || exit 1
  # -w: -Wstringop-overflow of gcc gives false warnings on spin's output.
  if ! { spin -a "$@" "$model" && gcc -w -O2 -DSAFETY -DCOLLAPSE \
	   -DMEMLIM=1500 -o pan pan.c && ./pan -m1000000 -w22; } > out 2>&1
  then
    cat out
    failed=1
    return
  fi
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
  # An incomplete search does not prove the absence of errors.
  if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' out
  then
    errors=incomplete
  fi
  echo "config${*:+ $*}: errors $errors, expected $expected, states $states"
  if [ "$errors" != "$expected" ] \
     || { [ "$expected" = 1 ] && ! grep -q 'assertion violated' out; }; then
    cat out
    failed=1
  fi
}

run 0 -DWRITERS
run 0
for guard in CAS SECTION SETTLE; do
  run 1 -DWRITERS -DNO_GUARD_$guard
done
for guard in HIGHER MAJORITY CONFIRM; do
  run 1 -DNO_GUARD_$guard
done
# Not a guard: a restart may lose a generation that is held but not in force.
run 1 -DSTRICT_RESTART
exit $failed
