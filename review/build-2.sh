#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files that use the standard library alone and
# run as they are, so this only checks that they compile; the nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/rig.py 6/endless.py {6,7,8,9,10}/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
