#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors and the sanitizers, runs all tests and each fuzz target for
# a few seconds; checks the operators' plain build, which needs no library.
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
