#!/usr/bin/env bash
# Prepares the scripts of review/11 to review/15: they start only the program of
# the deploy file, and stand-ins in Python, which need no build.
set -eu
cd "$(dirname "$0")/.."
[ -x target/cicadabay ] || make BUILD=target target/cicadabay -j4
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
