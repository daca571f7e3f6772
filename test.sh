#!/usr/bin/env bash
# Builds with warnings as errors and the sanitizers, and runs all tests; then checks the operators' plain build.
set -euo pipefail
cd "$(dirname "$0")"
cmake -B build-plain -DCMAKE_BUILD_TYPE=Release -DWHINPOST_STRICT=ON
cmake --build build-plain -j4
cmake -B build-test -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DWHINPOST_TESTS=ON -DWHINPOST_STRICT=ON -DWHINPOST_SANITIZE=ON
cmake --build build-test -j4
ctest --test-dir build-test --output-on-failure
