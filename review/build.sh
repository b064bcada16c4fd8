#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for name in store worker client; do
  g++ -std=c++20 -O1 -Wall -I.. -o "bin/$name" "../tests/standins/$name.cc" \
    -lPocoNet -lPocoJSON -lPocoFoundation -lpthread &
done
wait -n && wait -n && wait -n
