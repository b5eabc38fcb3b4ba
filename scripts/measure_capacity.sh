#!/usr/bin/env bash
# Measures processor time, memory and traffic of small clusters of real
# processes and rewrites the tables between the two markers in docs/CAPACITY.md.
# No measured speed makes the script fail.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
page=docs/CAPACITY.md
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" --target cowslippassd stand_in_platform \
    stand_in_target stand_in_proxy capacity -- -j"${BUILD_JOBS:-4}" > /dev/null
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT
{
    echo "Commit $(git rev-parse --short HEAD), RelWithDebInfo, $(nproc)" \
        "cores, load average $(cut -d' ' -f1 /proc/loadavg) at the start," \
        "windows of 8 s."
    echo
    "$build/bench/capacity/capacity"
} > "$tables"
awk -v tables="$tables" '
    /<!-- end of measured tables -->/ { skips = 0 }
    !skips { print }
    /<!-- measured tables -->/ {
        print ""
        while ((getline row < tables) > 0) print row
        print ""
        skips = 1
    }' "$page" > "$page.new"
mv "$page.new" "$page"
