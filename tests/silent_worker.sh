#!/usr/bin/env bash
# Guards against a worker whose connections go silent while it still accepts
# new ones: no request may hang, none that was sent may be reported as not run,
# and the other workers stay in use.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
for i in 1 2 3; do
	worker_start "w$i" --serves tally --service-ms 10
done
silent_pid=$worker_pid
wait_for 10 "workers" worker_count_is 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done
"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 64 --keyed 30 --idempotent 50 --timeout-ms 1000 \
    --ledger "$work/load.ledger" >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 20 "requests" requests_started 600
kill -USR1 "$silent_pid"
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
compare_ledgers "$work/load.ledger"
print_comparison
[ $((duplicates + wrong_answers + false_not_run + answered_without_run)) \
    -eq 0 ] || fail "a guarantee was violated"
[ "$(wc -l <"$work/load.ledger")" -eq 3000 ] || fail "requests without outcome"
# Each instance may lose the requests in flight when the silence begins and the
# attempts it needs to notice it; afterwards it doesn't use the worker.
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -le 60 ] || fail "$unknown requests with unknown outcome"
worker_lease_has_ended() {
	[ "$("$build/cicadabay" workers | grep -c 127.0.0.1)" -eq 2 ]
}
wait_for 20 "end of the lease" worker_lease_has_ended
check_instances_alive
echo "the silent worker is not used any more"
