#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, from the
# project's own sources, into review/bin/2. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/bin/2
for name in store worker client; do
  g++ -std=c++20 -O1 -I. "tests/standins/$name.cc" -o "review/bin/2/$name" \
    -lPocoNet -lPocoJSON -lPocoFoundation -lpthread
done
g++ -std=c++20 -O1 review/late_network.cc -o review/bin/2/late_network -lpthread
