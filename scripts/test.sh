#!/usr/bin/env bash
# Installs missing packages, builds, checks format and lint, and runs all tests
# except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
scripts/lint.sh
export RC_PARAMS="seed=42 max_success=200"
# Tests listed in KNOWN-RED.txt are printed and excluded from the run.
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)
if [[ -n $known ]]; then
    echo "known failing tests, not run: $known"
    exclude=(-E "^($known)\$")
fi
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure \
    -j "${TEST_JOBS:-6}" "${exclude[@]+"${exclude[@]}"}"
