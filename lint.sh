#!/usr/bin/env bash
# Formatter and linter. Needs the compile commands of the test build (test.sh makes it, and calls this).
set -euo pipefail
cd "$(dirname "$0")"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
# Every file of these folders, and every header that they include, passes all checks of .clang-tidy.
# Not finished yet: bench (but scale), emulator, fuzz, simulation, tests.
git ls-files 'src/*.cpp' 'apps/*.cpp' 'simulator_adapter/*.cpp' 'bench/scale*.cpp' |
    xargs -P"$(nproc)" -n1 clang-tidy -p build-test --quiet --extra-arg=-Wno-unknown-warning-option
