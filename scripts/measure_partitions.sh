#!/usr/bin/env bash
# Partitions a data centre of real processes under three policies and rewrites
# docs/measurements-partitions.md. The seeds are fixed. Fails when cowslippassd
# starts work with a withdrawn key after the bound; no measured rate makes it
# fail.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
page=docs/measurements-partitions.md
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" --target partitions -- -j"${BUILD_JOBS:-4}" > /dev/null
table=$(mktemp)
trap 'rm -f "$table"' EXIT
load=$(cut -d' ' -f1 /proc/loadavg)
status=0
"$build/bench/partitions/partitions" > "$table" || status=$?
{
    cat bench/partitions/page_head.md
    echo "Made by \`scripts/measure_partitions.sh\` at commit" \
        "$(git rev-parse --short HEAD) on $(nproc) cores, load average $load" \
        "at the start:"
    echo
    cat "$table"
} > "$page"
exit "$status"
