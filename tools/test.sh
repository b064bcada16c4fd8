#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs all tests. The summary of ctest is printed last.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install.sh
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -G Ninja -B "$build" -S . >/dev/null
ninja -C "$build" | tail -2
./tools/lint.sh "$build"
./tools/known_red.sh
ctest --test-dir "$build" --output-on-failure -j 4
