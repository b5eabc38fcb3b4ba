#!/usr/bin/env bash
# Checks that the stand-ins and cases, which are Python programs that need only
# the standard library, compile. Nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX
PYTHONPYCACHEPREFIX=$(mktemp -d)
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q stand_in_*.py */case.py
