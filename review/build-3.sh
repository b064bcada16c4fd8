#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, into
# target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
pids=()
build() {  # NAME SOURCE
  g++ -std=c++20 -O1 -I. "$2" -o "$out/$1" \
    -lPocoNet -lPocoJSON -lPocoFoundation -pthread &
  pids+=($!)
}
build store tests/standins/store.cc
build worker tests/standins/worker.cc
build client tests/standins/client.cc
build late_network review/late_network.cc
build late_store review/late_store.cc
for pid in "${pids[@]}"; do
  wait "$pid"
done
