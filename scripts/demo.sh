#!/usr/bin/env bash
# Installs what is missing, builds, and shows a small fleet in three regions
# under overload. Needs about 30 s after the build.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  echo "demo: $1" >&2
  exit 1
}

scripts/install.sh || fail "packages could not be installed"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
echo "demo: building"
{ cmake -S . -B build -G Ninja &&
  cmake --build build --target amaranthgap amaranthgap-standin amaranthgap-bench
} >"$log" 2>&1 || { tail -30 "$log" >&2; fail "the build failed"; }

python3 scripts/demo.py
