#!/usr/bin/env bash
# Guards against accepted jobs that take replicas over their memory, when they
# are submitted, when a replica is restarted, or when it gets a snapshot; and
# against a full state that refuses more than submissions.
set -u
cd "$(dirname "$0")/.."
number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
binary=${1:-build/rel}/cicadabay
option=
grep -q __asan_init "$binary" && option=--sanitizer
# shellcheck disable=SC2086
python3 soak/memory.py "$binary" 1 2 --net $number $option
