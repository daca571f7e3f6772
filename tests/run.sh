#!/usr/bin/env bash
# Runs all tests of a build folder. Those that KNOWN-RED.txt names (`test: cause; issue`, three lines at most) run last,
# are printed, and do not fail the run; one that passes does, since it is to be taken off the list.
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
        echo "$test passes: take it off KNOWN-RED.txt"
        exit 1
    fi
    echo "$test: failed, as listed"
done
