#!/usr/bin/env bash
# Installs the packages that a build needs on Debian 12, as far as they are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config curl libpoco-dev libcapnp-dev libboost-dev libboost-program-options-dev
          libspdlog-dev librapidcheck-dev catch2 liburcu-dev libxxhash-dev libbenchmark-dev clang-format clang-tidy)
missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$p" 2>/dev/null | grep -q "ok installed" || missing+=("$p")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
