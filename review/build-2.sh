#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p out/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standins-2/main.cpp \
  -o out/review-2/review-cases
