#!/usr/bin/env bash
# Builds the stand-ins of this review into target/review-3.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
g++ -std=c++20 -O1 -fcoroutines -DASIO_STANDALONE -I"$root/review/lab-3" \
    "$root/review/lab-3/lab.cpp" -o "$root/target/review-3/lab" -pthread
