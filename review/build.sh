#!/usr/bin/env bash
# Builds the stand-ins of the cases: they use Python's own library only. The nodes run from target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
python3 - <<'PYTHON'
import pathlib
import sys

if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: build the deploy file first")
PYTHON
