#!/usr/bin/env bash
# Guards against a maintenance wave that doesn't complete, takes more machines
# down than it may, or loses or repeats work, while its leader is killed between
# two orders and some orders get no answer. Against moves between pools that
# don't help, end work or leave machines away, while the leader is killed and the
# first order gets no answer.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
python3 soak/waves.py "${1:-build/rel}/cicadabay" 1 --net $number || exit 1
python3 soak/waves.py "${1:-build/rel}/cicadabay" 1 --moves --net $number
