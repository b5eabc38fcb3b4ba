#!/usr/bin/env bash
# Measures the maintenance strategies and rewrites
# docs/measurements-maintenance.md. Time is simulated and the seeds are fixed:
# only the last two columns depend on the machine. Does not build the benchmark.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
page=docs/measurements-maintenance.md
table=$(mktemp)
trap 'rm -f "$table"' EXIT
commit=$(git rev-parse --short HEAD)
"$build/bench/maintenance/maintenance_bench" --days=3 --runs=3 > "$table"
{
    cat bench/maintenance/page_head.md
    echo "Made by \`scripts/measure_maintenance.sh\` at commit $commit" \
        "on $(nproc) cores:"
    echo
    cat "$table"
} > "$page"
