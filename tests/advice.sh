#!/usr/bin/env bash
# Guards against a start without a valid ticket on a queue with advice, and
# against such a queue that holds up another one or loses jobs, while the service
# loses answers, is late, refuses calls or is silent, the leader is killed and a
# worker restarts.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
python3 soak/advised.py "${1:-build/rel}/cicadabay" 1 --net $number
