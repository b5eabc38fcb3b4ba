#!/usr/bin/env bash
# Measures placement and shares with fixed seeds and rewrites
# docs/measurements.md. `quick` leaves out the scenario at design size. The
# benchmarks at the end of the page depend on the machine; none of their figures
# makes the script fail.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" --target measure bench -- -j"${BUILD_JOBS:-4}" \
    > /dev/null
"$build/bench/measure" "$@" > "$build/measurements.md"
{
    printf '\n## Speed and memory\n\n`build/bench/bench`, on the machine that '
    printf 'wrote this page. The numbers after a\nname are targets and waiting '
    printf 'tasks.\n\n```\n'
    "$build/bench/bench" --benchmark_format=console 2> /dev/null
    printf '```\n'
    cat bench/placement_trials.md
} >> "$build/measurements.md"
mv "$build/measurements.md" docs/measurements.md
