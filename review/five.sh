#!/usr/bin/env bash
# Runs a case five times with the disruption and once without, and tells how often it failed: five.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do ./run.sh > /dev/null; echo "$1 run $run: exit $?"; done
TROUBLE=0 ./run.sh > /dev/null; echo "$1 TROUBLE=0: exit $?"
