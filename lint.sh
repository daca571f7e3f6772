#!/usr/bin/env bash
# Formatter and linter. Needs the compile commands of the test build (test.sh makes it, and calls this).
set -euo pipefail
cd "$(dirname "$0")"
# Formatted: these, whole. Not yet: drill (wire.cpp), fuzz, lab, standin.
git ls-files 'src/*.cpp' 'src/*.h' 'include/*.h' 'apps/*.cpp' 'apps/*.h' 'bench/*.cpp' 'bench/*.h' 'tests/*.cpp' 'tests/*.h' |
    xargs clang-format --dry-run -Werror
# Linted: these folders and the module. Not yet: the other folders of src, apps, drill, fuzz, lab, standin, tests.
git ls-files 'src/platform/*.cpp' 'src/net/*.cpp' 'src/ledger/*.cpp' 'src/planner/*.cpp' 'src/bus/*.cpp' 'src/signalling/*.cpp' \
    'src/wheel/*.cpp' 'src/log/*.cpp' 'src/terms/*.cpp' src/decide.cpp bench/scale.cpp |
    xargs -P4 -n1 clang-tidy -p build-test --quiet --extra-arg=-Wno-unknown-warning-option
