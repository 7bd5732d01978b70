#!/bin/bash
# Builds every stand-in and case of the review into build/review/. Needs the compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for file in review/stand/*.cpp; do
  g++ "${flags[@]}" -c "$file" -o "build/review/$(basename "$file" .cpp).o"
done
for folder in review/[1-3]; do
  g++ "${flags[@]}" "$folder/case.cpp" build/review/*.o -o "build/review/case$(basename "$folder")"
done
