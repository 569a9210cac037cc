#!/usr/bin/env bash
# Shows a whole cluster at work: three instances, fake workers, a
# latency-critical and a batch class, one instance and one worker killed
# half-way. Ends with a table; fails if any promise was broken.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
requests=10000
rate=400
jobs=3
tasks=40

cluster_init "${1:-build/rel}" 3
say "starting three instances"
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
say "starting five workers"
for i in 1 2 3 4 5; do
	worker_start "w$i" --serves tally --rack "r$((i % 2))" \
	    --service-ms 8 --jitter-ms 4
done
victim=w5-0
victim_pid=$worker_pid
wait_for 10 "workers" workers_are 5
for i in 1 2 3; do
	wait_for 10 "service by instance $i" served "$i"
done

say "driving $requests requests and $((jobs * tasks)) batch tasks"
"$build/load" --instances "$instances" --class tally --count $requests \
    --rate $rate --concurrency 64 --keyed 50 --idempotent 40 \
    --ledger "$work/load.ledger" >"$work/load.out" 2>&1 &
load_pid=$!
cluster_pids+=($load_pid)
for ((i = 0; i < jobs; i++)); do
	"$build/cicadabay" submit --class report --cpu 1 --memory 500MiB \
	    --tasks $tasks --run-time 4s >/dev/null || fail "submit"
done
wait_for 60 "requests" requests_run $((requests / 3))
dead=$(leader)
say "killing instance $dead (the leader) and worker $victim"
instance_kill "$dead"
kill -KILL "$victim_pid"
killed_ms=$(date +%s%3N)
wait $load_pid
load_rc=$?
[ $load_rc -le 1 ] || fail "load tool"

jobs_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done"' | wc -l)" -eq $jobs ]
}
say "waiting for the jobs"
wait_for 60 "finished jobs" jobs_done
compare "$work/load.ledger"
task_faults "$victim" "$killed_ms"
done_tasks=$("$build/cicadabay" jobs |
    awk '$2 == "done" { n += $5 } END { print n + 0 }')
evictions=$("$build/cicadabay" status | awk '$1 == "evictions" { print $2 }')
value() {
	awk -v k="$1" 'NF == 2 && $1 == k { print $2 }' "$work/load.out"
}

row() {
	printf '  %-44s %12s\n' "$1" "$2"
}
say "result"
row "requests asked" "$(value asked)"
row "  answered" "$(value answered)"
row "  refused as not run" "$(value not_run)"
row "  unknown" "$(value unknown)"
row "non-idempotent requests run twice" "$dups"
row "wrong answers" "$wrong"
row "reported as not run, but run" "$false_not_run"
row "answered without a run" "$unrun"
row "batch tasks done / submitted" "$done_tasks / $((jobs * tasks))"
row "tasks finished twice on living workers" "$twice"
row "tasks at work in two places" "$overlaps"
row "evictions" "$evictions"
row "answer time p50 / p99 (ms)" "$(value p50_ms) / $(value p99_ms)"
grep -E '^(not_run|unknown) [a-z]' "$work/load.out" | sed 's/^/    /'

[ "$(value asked)" -eq $requests ] || fail "requests without an outcome"
[ $((dups + wrong + false_not_run + unrun)) -eq 0 ] ||
    fail "a promise about requests was broken"
[ "$done_tasks" -eq $((jobs * tasks)) ] && [ $((twice + overlaps)) -eq 0 ] ||
    fail "a promise about tasks was broken"
instances_alive
say "all promises kept"
