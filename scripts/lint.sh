#!/usr/bin/env bash
# Checks format and lint of all sources; with --fix formats them in place.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"

cmake -S . -B build -G Ninja >/dev/null
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp')
printf '%s\0' "${sources[@]}" |
  xargs -0 -P "$(nproc)" -n 2 clang-tidy -p build --quiet
