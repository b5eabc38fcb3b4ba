#!/usr/bin/env bash
# Runs every measurement in turn, or only those named as arguments. Each part
# is a script of its own, scripts/measure_NAME.sh, and rewrites its page.
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
# All names are checked first: a part may run for an hour.
for name in "$@"; do
    if [[ " ${known[*]} " != *" $name "* ]]; then
        echo "measure.sh: no part '$name'; there are: ${known[*]}" >&2
        exit 2
    fi
done
for name in "$@"; do
    echo "measure.sh: $name"
    "scripts/measure_$name.sh"
done
