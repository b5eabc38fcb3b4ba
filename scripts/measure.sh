#!/usr/bin/env bash
# Runs every measurement in turn, or only those named as arguments. The
# measurement NAME is the script scripts/measure_NAME.sh, which rewrites a page
# under docs/.
set -euo pipefail
cd "$(dirname "$0")/.."
known=()
for script in scripts/measure_*.sh; do
    name=${script#scripts/measure_}
    known+=("${name%.sh}")
done
if (($# == 0)); then
    set -- "${known[@]}"
fi
# All names are checked first, because a measurement may run for an hour.
for name in "$@"; do
    if [[ " ${known[*]} " != *" $name "* ]]; then
        echo "measure.sh: unknown measurement '$name'; known: ${known[*]}" >&2
        exit 2
    fi
done
for name in "$@"; do
    echo "measure.sh: $name"
    "scripts/measure_$name.sh"
done
