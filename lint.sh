#!/usr/bin/env bash
# Formatter and linter. Needs the compile commands of the test build (test.sh makes it, and calls this).
set -euo pipefail
cd "$(dirname "$0")"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
# Linted: these folders. Not yet: the other folders of src, apps, emulator, fuzz, simulation, simulator_adapter, tests.
git ls-files 'src/platform/*.cpp' 'src/net/*.cpp' 'src/ledger/*.cpp' 'src/planner/*.cpp' 'src/discovery/*.cpp' \
    'src/platform_codec/*.cpp' 'src/timer_wheel/*.cpp' 'src/log/*.cpp' 'src/settings/*.cpp' 'src/scheduler/*.cpp' \
    bench/scale.cpp |
    xargs -P4 -n1 clang-tidy -p build-test --quiet --extra-arg=-Wno-unknown-warning-option
