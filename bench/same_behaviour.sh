#!/usr/bin/env bash
# Runs the same rehearsals in virtual time with two builds and compares the digests of all bytes delivered: each
# bundled scenario with seeds 1 to 3, DRAWN generated scenarios, and SESSIONS random sessions with the platform's
# server. JOBS run in parallel. Prints each digest that differs; exit status 1 if there are any, 2 if a rehearsal
# could not be run.
#
#     bench/same_behaviour.sh OLD_BUILD NEW_BUILD      (built with WHINPOST_PROGRAM and WHINPOST_BENCH)
set -euo pipefail
if [ $# -ne 2 ]; then
    echo "usage: $0 OLD_BUILD NEW_BUILD" >&2
    exit 2
fi
jobs=${JOBS:-4}
drawn=${DRAWN:-50}
sessions=${SESSIONS:-400}
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# play BUILD NAME ARGUMENTS...: runs a rehearsal and prints its name and digest on one line.
play() {
    local build=$1 name=$2
    shift 2
    local out
    out=$(mktemp -d "$work/run-XXXXXX")
    # The exit status is ignored: expectations need not be met with seeds other than the scenario's own.
    (cd "$out" && "$build/apps/whinpost" rehearse "$@" --quiet >said 2>&1) || true
    local digest
    digest=$(sed -n 's/^digest //p' "$out/said")
    echo "$name ${digest:-not played: $(tail -n 1 "$out/said")}"
    rm -rf "$out"
}
export -f play
export work

"$old/apps/whinpost" rehearse --list | grep -v '^ ' >"$work/scenarios"
{
    for seed in 1 2 3; do
        while read -r scenario; do echo "$scenario-$seed $scenario --seed $seed"; done <"$work/scenarios"
    done
    for seed in $(seq 1 "$drawn"); do echo "drawn-$seed --draw $seed"; done
} >"$work/plays"

for side in old new; do
    build=${!side}
    xargs -P "$jobs" -I{} bash -c "play '$build' {}" <"$work/plays" | sort >"$work/$side"
    seq 1 "$sessions" | xargs -P "$jobs" -I{} "$build/bench/whinpost_platform_sessions" {} 1 |
        sort >>"$work/$side"
done

if grep 'not played' "$work/old" "$work/new"; then
    exit 2
fi
if ! diff "$work/old" "$work/new"; then
    echo "different: $(diff "$work/old" "$work/new" | grep -c '^<') of $(wc -l <"$work/old")"
    exit 1
fi
echo "the same: $(wc -l <"$work/old") digests"
