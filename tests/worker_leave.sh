#!/usr/bin/env bash
# Guards against requests that are sent to a worker more than 3 s after it began
# to leave, and against requests or tasks that are lost with it.
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
wait_for 10 "workers" worker_count_is 2
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done
"$build/cicadabay" submit --class report --cpu 1 --memory 100MiB \
    --tasks 12 --run-time 2s >/dev/null || fail "submit"
"$build/load" --instances "$instances" --class tally --count 2400 --rate 200 \
    --concurrency 32 --keyed 0 --ledger "$work/load.ledger" \
    >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
leaving_worker_is_used() {
	grep -q ' R leave-0 .*/q-' "$work/worker.ledger"
}
wait_for 10 "requests on the worker" leaving_worker_is_used
kill -TERM "$leave_pid"
left_ms=$(date +%s%3N)
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
worker_has_ended() {
	! kill -0 "$leave_pid"
}
wait_for 20 "end of the leaving worker" worker_has_ended
late=$(awk -v t=$((left_ms + 3000)) \
    '$2 == "R" && $3 == "leave-0" && $1 > t' "$work/worker.ledger" | wc -l)
[ "$late" -eq 0 ] ||
    fail "$late requests were sent more than 3 s after the leave"
compare_ledgers "$work/load.ledger"
[ $((duplicates + wrong_answers + false_not_run + answered_without_run)) \
    -eq 0 ] || fail "a guarantee was violated"
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -eq 0 ] || fail "$unknown requests with unknown outcome"
job_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done" { print $5 }')" = 12 ]
}
wait_for 30 "finished job" job_done
count_task_faults
[ $((finished_twice + overlaps)) -eq 0 ] ||
    fail "a task finished twice or ran in two places"
check_instances_alive
echo "no request sent after 3 s, nothing lost"
