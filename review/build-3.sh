#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the daemon. Their
# stand-ins are Python programs, so that they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - fleet_3.py 1?/case.py <<'CHECK'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as it:
        ast.parse(it.read(), path)
CHECK
test -x ../target/cowslippass_entryd
