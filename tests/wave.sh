#!/usr/bin/env bash
# Guards against a maintenance wave that doesn't complete, takes more machines
# down than it may, or loses or repeats work, while its leader is killed between
# two orders and some orders get no answer.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
python3 soak/waves.py "${1:-build/rel}/cicadabay" 1 --net $number
