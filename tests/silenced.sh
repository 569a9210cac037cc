#!/usr/bin/env bash
# Guards against cancelled tasks that run on, jobs that don't start and leases
# that lapse after open connections went silent without a reset.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
python3 soak/silenced.py "${1:-build/rel}/cicadabay" 2 --net $number
