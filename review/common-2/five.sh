#!/usr/bin/env bash
# Runs the script of a case five times and once without its disruption; prints each exit status.
cd "$(dirname "$0")/../$1"
for turn in 1 2 3 4 5; do
    ./run.sh | tail -n 1
    echo "case $1, run $turn: exit ${PIPESTATUS[0]}"
done
TROUBLE=0 ./run.sh | tail -n 1
echo "case $1 with TROUBLE=0: exit ${PIPESTATUS[0]}"
