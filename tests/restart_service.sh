#!/usr/bin/env bash
# Guards against requests that are refused for the validity of a slot grant
# after all instances were killed and started again, or one after the other,
# although the only worker is idle.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start w --serves tally
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done
for i in 1 2 3; do
	instance_kill "$i"
done
for i in 1 2 3; do
	instance_start "$i"
done
for i in 1 2 3; do
	wait_for 20 "readiness of instance $i" instance_ready "$i"
	wait_for 20 "service by instance $i" is_served "$i"
done
# The log holds an entry without a command now.
for i in 1 2 3; do
	instance_kill "$i"
	instance_start "$i"
	wait_for 20 "readiness of instance $i" instance_ready "$i"
	wait_for 20 "service by instance $i" is_served "$i"
done
check_instances_alive
echo "all instances serve again after a restart of all and of each"
