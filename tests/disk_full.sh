#!/usr/bin/env bash
# Guards against a replica that goes on voting or acknowledging after a write
# has failed, and against one full disk that stops the other replicas or the
# requests to its own instance.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
# Writes of instance 3 fail once a file has reached 256 KiB.
(
	trap '' XFSZ
	ulimit -f 256
	exec "$build/cicadabay" serve -c "$work/i3.ini"
) >>"$work/i3.log" 2>&1 &
instance_pid[3]=$!
cluster_pids+=($!)
instance_start 1
instance_start 2
for i in 1 2 3; do
	wait_for 20 "readiness of instance $i" instance_ready "$i"
done
wait_for 20 "replicas" voter_count_is 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start w --serves tally
wait_for 10 "workers" worker_count_is 1
payload=$(head -c 30000 /dev/zero | tr '\0' x)
for i in $(seq 20); do
	"$build/cicadabay" submit --class report --cpu 1 --memory 1MiB \
	    --payload "$payload" --change-id "job-$i" >/dev/null ||
	    fail "submit $i"
done
grep -q 'crit control event=replica_stopped' "$work/i3.log" ||
    fail "the log doesn't report the full disk"
[ "$(curl -s "http://${http[3]}/v1/counters" | jq .node.disk_failed)" = 1 ] ||
    fail "the disk failure was not counted exactly once"
[ "$("$build/cicadabay" jobs --json | jq '.jobs | length')" = 20 ] ||
    fail "accepted jobs are missing"
wait_for 10 "readiness of instance 3 through the others" instance_ready 3
wait_for 10 "service by instance 3" is_served 3
check_instances_alive
echo "the replica stopped, the others accepted 20 jobs"
