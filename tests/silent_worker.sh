#!/usr/bin/env bash
# Guards against a worker whose connections go silent while it still accepts
# new ones: no request may hang or be called not run if it was sent, and the
# other workers go on.
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
wait_for 10 "workers" workers_are 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" served "$i"
done
"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 64 --keyed 30 --idempotent 50 --timeout-ms 1000 \
    --ledger "$work/load.ledger" >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 20 "requests" requests_run 600
kill -USR1 "$silent_pid"
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
compare "$work/load.ledger"
echo "duplicates $dups, wrong $wrong, false not-run $false_not_run, not run $unrun"
[ $((dups + wrong + false_not_run + unrun)) -eq 0 ] || fail "promise broken"
[ "$(wc -l <"$work/load.ledger")" -eq 3000 ] || fail "requests without outcome"
# Each instance may lose what it had under way when the silence began and the
# attempts it takes to notice; afterwards the worker is out of use.
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -le 60 ] || fail "$unknown requests with unknown outcome"
gone() {
	[ "$("$build/cicadabay" workers | grep -c 127.0.0.1)" -eq 2 ]
}
wait_for 20 "end of the lease" gone
instances_alive
echo "silent worker out of use"
