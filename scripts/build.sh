#!/usr/bin/env bash
# Configures and builds into $BUILD_DIR (default: build). A failed file does not
# stop the build, so that one run reports every compile error.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" -- -k 0
