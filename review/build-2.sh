#!/bin/sh
# Builds the stand-ins of cases 4 to 8: they are plain Python and need only the standard library.
set -e
cd "$(dirname "$0")"
exec python3 -X pycache_prefix=../target/pycache -m compileall -q lib2 4 5 6 7 8
