#!/usr/bin/env bash
# Runs all tests of a build folder. Tests listed in KNOWN-RED.txt (lines `test: cause; issue`, three at most) run last. The
# run prints them and does not fail if they fail; it fails if one of them passes, because that must leave the list.
set -euo pipefail
build=$1
list="$(dirname "$0")/../KNOWN-RED.txt"
red=$(grep -oE '^[a-z_]+' "$list" 2>/dev/null | paste -sd '|' || true)
if [ -z "$red" ]; then
    exec ctest --test-dir "$build" --output-on-failure -j4
fi
[ "$(grep -c . "$list")" -le 3 ] || { echo "KNOWN-RED.txt: more than three lines"; exit 1; }
ctest --test-dir "$build" --output-on-failure -j4 -E "^($red)$"
echo "known failures (KNOWN-RED.txt):"
cat "$list"
for test in ${red//|/ }; do
    if ctest --test-dir "$build" -R "^$test$" --no-tests=error > "$build/$test.log" 2>&1; then
        echo "$test passes: remove it from KNOWN-RED.txt"
        exit 1
    fi
    echo "$test: failed, as listed"
done
