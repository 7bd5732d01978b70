#!/bin/bash
# Builds the stand-ins of the second review into build/review-2: they are Python, so this compiles them once and
# says where one does not compile. The cases start the project's own program from build/, which the deploy build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand-2/*.py review/{6,7,8,9,10}/case.py; do
  [ -e "$source" ] || continue
  name=${source#review/}
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
    "$source" "build/review-2/${name//\//-}c"
done
[ -x build/umberhoist ] || echo "review: build/umberhoist is not there yet: the deploy build makes it" >&2
