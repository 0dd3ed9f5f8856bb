#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so this only checks that
# each of them can be compiled; nothing is written outside review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
PYTHONPYCACHEPREFIX="$PWD/build/pycache" python3 -m compileall -q common-2 $(for n in 6 7 8 9 10; do if [ -d "$n" ]; then echo "$n"; fi; done)
