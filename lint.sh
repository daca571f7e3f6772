#!/usr/bin/env bash
# Runs the formatter and the linter. Needs the compile commands of the test build; test.sh creates it and calls this.
set -euo pipefail
cd "$(dirname "$0")"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
# All files of these folders, and the headers that they include, must pass the checks of .clang-tidy.
# Not checked yet: bench except scale*, emulator, fuzz, simulation, tests.
git ls-files 'src/*.cpp' 'apps/*.cpp' 'simulator_adapter/*.cpp' 'bench/scale*.cpp' |
    xargs -P"$(nproc)" -n1 clang-tidy -p build-test --quiet --extra-arg=-Wno-unknown-warning-option
