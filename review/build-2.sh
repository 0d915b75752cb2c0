#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start, into
# review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
echo '*' >build-2/.gitignore
for Source in standin-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "build-2/$(basename "$Source" .cpp)" "$Source" -lpthread
done
