#!/usr/bin/env bash
# Builds the program and runs a one-minute scenario with faults on loopback sockets: three placers, each a separate process,
# a discovery service, 40 workers and four clients. Prints a table and whether the five rules held; exit status 1 if one was
# violated.
set -euo pipefail
cd "$(dirname "$0")"
./setup.sh
cmake -G Ninja -B build-demo -DCMAKE_BUILD_TYPE=Release -DWHINPOST_PROGRAM=ON >build-demo.log 2>&1 ||
    { cat build-demo.log; exit 2; }
cmake --build build-demo --target whinpost_program whinpost-emulator | tail -n 1
exec build-demo/apps/whinpost-emulator play "${1:-emulator/days/bad-day.toml}"
