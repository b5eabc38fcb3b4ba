#!/bin/sh
# Builds what the scripts of the second review start beside the project's
# program: stand-ins in Python, which need nothing but its standard library.
set -e
cd "$(dirname "$0")"
for file in fleet_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
