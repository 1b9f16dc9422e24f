#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
find review/standin -name '*.cpp' -print0 \
    | xargs -0 -P 4 -I{} sh -c 'g++ -std=c++20 -O1 -Wall -Wextra -c "$1" -o "$2/$(basename "$1" .cpp).o"' _ {} "$out"
g++ "$out"/*.o -lhttp_parser -o "$out/world"
echo "review: built $out/world"
