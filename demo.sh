#!/usr/bin/env bash
# The main job: three placers, each its own process, a list service, 40 nodes and four owners on loopback sockets, through
# a bad day of a minute. Closes with a table and whether the five rules held; exit status 1 if one broke.
set -euo pipefail
cd "$(dirname "$0")"
./setup.sh
cmake -G Ninja -B build-demo -DCMAKE_BUILD_TYPE=Release -DWHINPOST_PROGRAM=ON >build-demo.log 2>&1 ||
    { cat build-demo.log; exit 2; }
cmake --build build-demo --target whinpost_program whinpost-emulator | tail -n 1
exec build-demo/apps/whinpost-emulator play "${1:-emulator/days/bad-day.toml}"
