#!/usr/bin/env bash
# Guards against tasks of cancelled jobs that run on, and tasks that run twice
# or never, while workers leave, their connections go silent without a reset,
# and the leader is killed.
set -u
cd "$(dirname "$0")/.."
port=${CLUSTER_PORT:-10000}
# The emulated workers use 127.64.0.0/10.
export FLEET_NET=127.$((128 + port / 500 % 100)) FLEET_PORT=$port
export FLEET_WORKERS=48 FLEET_GATES=2 FLEET_SECONDS=12
export FLEET_FIRST_FAULT=1 FLEET_RECOVERY=8
export FLEET_OPTIONS="cancels=50 cancels_from=6 calm_from=6 settle=10
    lasting=4 leaves=1 mute=0.5 lost_orders=5 scale=0.5"
scripts/fleet_faults.sh "${1:-build/rel}" kill_leader 1
