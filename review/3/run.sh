#!/bin/sh
# Plays the case of this folder against the built placer; writes record.txt beside this script.
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x /usr/bin/python3 ] || { echo "could not run: no /usr/bin/python3"; exit 2; }
[ -x ../../build/apps/whinpost ] || { echo "could not run: the placer is not built"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 112 /usr/bin/python3 -B case.py
