#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
exec timeout 115 python3 case.py
