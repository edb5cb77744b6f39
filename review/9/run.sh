#!/bin/sh
# Plays the case and exits with 1: the rule was broken; 0: it held; 2: it
# could not run.  With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 case.py
