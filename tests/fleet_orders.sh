#!/usr/bin/env bash
# Guards against starts in an evacuated failure domain, evacuations that are
# refused or not acknowledged, maintenance waves that take down too many
# machines, end tasks they may not or don't complete in time, and orders or
# reads that break the rules of the service that owns the machines, while some
# answers are lost or late, some orders are carried out late, and the leader is
# killed.
set -u
cd "$(dirname "$0")/.."
port=${CLUSTER_PORT:-10000}
# The emulated workers use 127.64.0.0/10.
net=127.$((128 + port / 500 % 100))
export FLEET_NET=$net FLEET_PORT=$port FLEET_CLOUD=$net.4.1:19090
export FLEET_WORKERS=48 FLEET_GATES=2 FLEET_SECONDS=16
export FLEET_FIRST_FAULT=3 FLEET_RECOVERY=7
export FLEET_OPTIONS="evacuations=1 waves=3 lose=5 delay=5 lost_orders=2
    settle=7 lasting=2 scale=0.3"
out=$(scripts/fleet_faults.sh "${1:-build/rel}" kill_leader 1)
rc=$?
echo "$out"
[ $rc -eq 0 ] || exit $rc
# fails unless a count of the report is above 0
is_counted() {
	echo "$out" | grep -q "^$1 [1-9]" || {
		echo "nothing counted: $1"
		exit 1
	}
}
is_counted evacuation_acked
is_counted wave_maintained
