#!/usr/bin/env bash
# Guards against new requests to a leaving worker after a few seconds, and
# against requests or tasks that a leaving worker loses.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start stay --serves tally --service-ms 20
worker_start leave --serves tally --service-ms 20
leave_pid=$worker_pid
wait_for 10 "workers" workers_are 2
for i in 1 2 3; do
	wait_for 10 "service by instance $i" served "$i"
done
"$build/cicadabay" submit --class report --cpu 1 --memory 100MiB \
    --tasks 12 --run-time 2s >/dev/null || fail "submit"
"$build/load" --instances "$instances" --class tally --count 2400 --rate 200 \
    --concurrency 32 --keyed 0 --ledger "$work/load.ledger" \
    >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
leaving_used() {
	grep -q ' R leave-0 .*/q-' "$work/worker.ledger"
}
wait_for 10 "requests on the worker" leaving_used
kill -TERM "$leave_pid"
left_ms=$(date +%s%3N)
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
gone() {
	! kill -0 "$leave_pid"
}
wait_for 20 "end of the leaving worker" gone
late=$(awk -v t=$((left_ms + 3000)) \
    '$2 == "R" && $3 == "leave-0" && $1 > t' "$work/worker.ledger" | wc -l)
[ "$late" -eq 0 ] || fail "$late requests more than 3 s after leaving"
compare "$work/load.ledger"
[ $((dups + wrong + false_not_run + unrun)) -eq 0 ] || fail "promise broken"
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -eq 0 ] || fail "$unknown requests with unknown outcome"
job_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done" { print $5 }')" = 12 ]
}
wait_for 30 "finished job" job_done
task_faults
[ $((twice + overlaps)) -eq 0 ] || fail "a task ran twice"
instances_alive
echo "nothing sent after 3 s, nothing lost"
