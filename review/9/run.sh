#!/bin/sh
# Exits with 1 when the rule of claim.txt was broken, 0 when it held, 2 when
# the case couldn't run.  TROUBLE=0 leaves out the disruption.
exec python3 -B "$(dirname "$0")/case.py"
