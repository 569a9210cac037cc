#!/usr/bin/env bash
# Guards against tasks that run twice when all replicas are killed under load
# and started again, while workers crash, are cut off, answer late and list their
# ends with the newest first.
set -u
cd "$(dirname "$0")/.."
build=${1:-build/rel}
port=${CLUSTER_PORT:-10000}
out=$(FLEET_NET=127.$((130 + port / 500 % 100)) FLEET_PORT="$port" \
    FLEET_WORKERS=240 FLEET_GATES=3 FLEET_SECONDS=16 FLEET_FIRST_FAULT=2 \
    FLEET_RECOVERY=8 \
    FLEET_OPTIONS="lose=1 delay=3 late=1 crashes=1 crash_group=40 outages=1 newest_first=1" \
    scripts/fleet_faults.sh "$build" kill_all 5 2>&1)
rc=$?
echo "$out"
acked=$(awk '$1 == "fleet_done_acked" { print $2 }' <<<"$out")
kills=$(grep -c ' kill replicas ' <<<"$out")
if [ "$kills" -lt 1 ] || [ "${acked:-0}" -lt 500 ]; then
	echo "core_restart_twice: $kills restarts, ${acked:-0} tasks done"
	exit 1
fi
exit $rc
