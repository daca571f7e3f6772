#!/usr/bin/env bash
# Installs missing packages, checks the operators' plain build, which needs no libraries, builds with sanitizers and warnings
# as errors, and runs the linter, all tests and each fuzz target (for a few seconds).
set -euo pipefail
cd "$(dirname "$0")"
./setup.sh
cmake -B build-plain -DCMAKE_BUILD_TYPE=Release -DWHINPOST_STRICT=ON
cmake --build build-plain -j4
cmake -G Ninja -B build-test -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DWHINPOST_TESTS=ON -DWHINPOST_PROGRAM=ON \
    -DWHINPOST_STRICT=ON -DWHINPOST_SANITIZE=ON
cmake --build build-test
./lint.sh
tests/run.sh build-test
fuzz/run.sh
