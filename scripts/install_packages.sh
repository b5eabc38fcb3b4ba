#!/usr/bin/env bash
# Installs the Debian packages in packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [[ $status == "install ok installed" ]] || missing+=("$package")
done < scripts/packages.txt
[[ ${#missing[@]} -eq 0 ]] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" \
    > /dev/null
