#!/usr/bin/env bash
# Runs every measurement from fixed seeds and rewrites docs/measurements.md.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" --target measure -- -j"${BUILD_JOBS:-4}" > /dev/null
"$build/bench/measure" "$@" > "$build/measurements.md"
mv "$build/measurements.md" docs/measurements.md
