#!/usr/bin/env bash
# Guards against an instance without a majority that accepts new work or reports
# to be ready after the configuration's freshness limit, and against one that
# doesn't serve again once there is a majority.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start w --serves tally
wait_for 10 "workers" worker_count_is 1
wait_for 10 "service" is_served 3
instance_kill 1
instance_kill 2
is_not_ready() {
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
	    "http://${http[3]}/readyz")" = 503 ]
}
wait_for 15 "end of readiness" is_not_ready
curl -s -m 5 -D "$work/head" "http://${http[3]}/svc/tally/stale/." >/dev/null
grep -qi 'cicadabay-outcome: not-run' "$work/head" || fail "$(cat "$work/head")"
grep -qi 'cicadabay-reason: config_stale' "$work/head" ||
    fail "$(cat "$work/head")"
grep -q '/stale/' "$work/worker.ledger" && fail "a refused request was run"
# A change must not be reported as accepted.
"$build/cicadabay" apply --version 1 "$work/classes.ini" >/dev/null 2>&1 &&
    fail "a change was accepted without a majority"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://${http[3]}/healthz")" = 200 ] ||
    fail "/healthz doesn't answer 200"
instance_start 1
wait_for 20 "readiness after a majority is back" instance_ready 3
wait_for 20 "service" is_served 3
check_instances_alive
echo "requests refused as stale without a majority, served again with one"
