#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python and need the standard library only, so
# this compiles them, which shows an unsuitable Python. The service is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
mkdir -p target
python3 -X pycache_prefix=target/pycache -m compileall -q review
