#!/usr/bin/env bash
# Demonstrates a cluster with three instances, fake workers, a latency-critical
# and a batch class. Kills one instance and one worker half-way, prints a table
# and fails if a guarantee was violated.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
requests=10000
rate=400
jobs=3
tasks=40

cluster_init "${1:-build/rel}" 3
log_progress "starting three instances"
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
log_progress "starting five workers"
for i in 1 2 3 4 5; do
	worker_start "w$i" --serves tally --rack "r$((i % 2))" \
	    --service-ms 8 --jitter-ms 4
done
victim=w5-0
victim_pid=$worker_pid
wait_for 10 "workers" worker_count_is 5
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done

log_progress "driving $requests requests and $((jobs * tasks)) batch tasks"
"$build/load" --instances "$instances" --class tally --count $requests \
    --rate $rate --concurrency 64 --keyed 50 --idempotent 40 \
    --ledger "$work/load.ledger" >"$work/load.out" 2>&1 &
load_pid=$!
cluster_pids+=($load_pid)
for ((i = 0; i < jobs; i++)); do
	"$build/cicadabay" submit --class report --cpu 1 --memory 500MiB \
	    --tasks $tasks --run-time 4s >/dev/null || fail "submit"
done
wait_for 60 "requests" requests_started $((requests / 3))
leader_id=$(leader)
log_progress "killing instance $leader_id (the leader) and worker $victim"
instance_kill "$leader_id"
kill -KILL "$victim_pid"
killed_ms=$(date +%s%3N)
wait $load_pid
load_rc=$?
[ $load_rc -le 1 ] || fail "the load tool ended with $load_rc"

jobs_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done"' | wc -l)" -eq $jobs ]
}
log_progress "waiting for the jobs"
wait_for 60 "finished jobs" jobs_done
compare_ledgers "$work/load.ledger"
count_task_faults "$victim" "$killed_ms"
done_tasks=$("$build/cicadabay" jobs |
    awk '$2 == "done" { n += $5 } END { print n + 0 }')
evictions=$("$build/cicadabay" status | awk '$1 == "evictions" { print $2 }')
value() {
	awk -v k="$1" 'NF == 2 && $1 == k { print $2 }' "$work/load.out"
}

row() {
	printf '  %-44s %12s\n' "$1" "$2"
}
log_progress "result"
row "requests sent" "$(value asked)"
row "  answered" "$(value answered)"
row "  refused as not run" "$(value not_run)"
row "  unknown" "$(value unknown)"
row "non-idempotent requests run twice" "$duplicates"
row "wrong answers" "$wrong_answers"
row "reported as not run, but run" "$false_not_run"
row "answered without a run" "$answered_without_run"
row "batch tasks done / submitted" "$done_tasks / $((jobs * tasks))"
row "tasks finished twice on living workers" "$finished_twice"
row "tasks running in two places at once" "$overlaps"
row "evictions" "$evictions"
row "answer time p50 / p99 (ms)" "$(value p50_ms) / $(value p99_ms)"
grep -E '^(not_run|unknown) [a-z]' "$work/load.out" | sed 's/^/    /'

[ "$(value asked)" -eq $requests ] || fail "requests without an outcome"
[ $((duplicates + wrong_answers + false_not_run + answered_without_run)) \
    -eq 0 ] || fail "a guarantee for requests was violated"
[ "$done_tasks" -eq $((jobs * tasks)) ] &&
    [ $((finished_twice + overlaps)) -eq 0 ] ||
    fail "a guarantee for tasks was violated"
check_instances_alive
log_progress "all guarantees were kept"
