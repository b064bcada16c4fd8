#!/usr/bin/env bash
# Checks the sources with clang-format and clang-tidy, except generated ones. Usage: lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cc' '*.h' | grep -v '/generated/')
clang-format --dry-run -Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"
# clang-tidy gets the .cc files only; it checks a header through the files that include it (HeaderFilterRegex).
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
printf '%s\0' "${units[@]}" | xargs -0 -n 4 -P 6 clang-tidy --quiet -p "$1" 2>/dev/null
echo "clang-tidy: ${#units[@]} files clean"
