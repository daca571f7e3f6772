#!/usr/bin/env bash
# Installs the packages of packages.txt that are missing on this machine. Called by the other scripts; prints nothing if none
# is missing.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
for p in $(sed 's/#.*//' packages.txt); do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' || missing+=("$p")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q "${missing[@]}"
