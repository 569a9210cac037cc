#!/usr/bin/env bash
# Guards against a start in a failure domain under evacuation after the leader,
# or all replicas, were killed, against a domain that stays closed afterwards,
# against an order that a paused replica forwards late and that undoes a newer
# one, and against a cold worker that the leader doesn't hear of.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
python3 soak/evacuated.py "${1:-build/rel}/cicadabay" 2 --net $number
