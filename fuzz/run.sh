#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each on a newly written corpus. Without an argument: a fixed number of
# inputs from a fixed seed, so that every run is the same. With an argument: for that many seconds, with random seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
bound=(-runs=1500 -seed=7)
[ $# -eq 0 ] || bound=(-max_total_time="$1")
cmake -G Ninja -B build-fuzz -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DCMAKE_CXX_COMPILER=clang++ \
    -DWHINPOST_PROGRAM=ON -DWHINPOST_FUZZ=ON
cmake --build build-fuzz --target fuzz_client_endpoint fuzz_worker_endpoint fuzz_discovery_endpoint fuzz_platform_endpoint \
    fuzz_configuration_files fuzz_corpus
corpus=build-fuzz/corpus
rm -rf "$corpus"
build-fuzz/fuzz/fuzz_corpus "$corpus"
cp emulator/days/*.toml "$corpus/configuration_files/"
# A shape for a migration has the tables of a scenario that describe the deployment, and no others.
printf '[[machine_kind]]\nname = "std"\ncores = 8\nmemory = 16\n[[queue_group]]\nname = "g"\neffect = "idempotent"\nstart_target_ms = 5\n[links]\ndrain_grace_ms = 50\n' \
    >"$corpus/configuration_files/shape.toml"
pids=()
for target in client_endpoint worker_endpoint discovery_endpoint platform_endpoint configuration_files; do
    build-fuzz/fuzz/fuzz_$target "${bound[@]}" -timeout=20 -rss_limit_mb=2048 -verbosity=0 \
        -print_final_stats=1 -artifact_prefix="build-fuzz/$target-" "$corpus/$target" >"build-fuzz/$target.log" 2>&1 &
    pids+=("$!:$target")
done
failed=0
for p in "${pids[@]}"; do
    if wait "${p%%:*}"; then
        echo "fuzz ${p#*:}: $(grep -o 'number_of_executed_units: *[0-9]*' "build-fuzz/${p#*:}.log" || true)"
    else
        failed=1
        echo "fuzz ${p#*:} FAILED; its input is in build-fuzz/${p#*:}-*"
        tail -n 60 "build-fuzz/${p#*:}.log"
    fi
done
exit $failed
