#!/usr/bin/env bash
# Guards against a leader that is frozen for longer than the worker lease and
# then acts on what it knew before: a request run twice or answered wrongly, a
# task at work in two places, or work taken under a replaced configuration.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
cp "$work/classes.ini" "$work/after.ini"
sed '/^\[class report\]/,$d; s/class tally/class old/' "$work/after.ini" \
    >>"$work/classes.ini"
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
for i in 1 2 3; do
	worker_start "w$i" --serves tally,old --service-ms 10
done
wait_for 10 "workers" workers_are 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" served "$i"
done
frozen=$(leader)
frozen_url=http://${http[$frozen]}
curl -s -m 5 "$frozen_url/svc/old/before/." | grep -q worker ||
    fail "the old class is not served before the freeze"
"$build/cicadabay" submit --class report --cpu 1 --memory 100MiB \
    --tasks 12 --run-time 4s >/dev/null || fail "submit"
"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 128 --keyed 50 --idempotent 40 --timeout-ms 1000 \
    --ledger "$work/load.ledger" >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 20 "requests" requests_run 300
tasks_run() {
	grep -q ' S ' "$work/worker.ledger"
}
wait_for 10 "running tasks" tasks_run

kill -STOP "${instance_pid[$frozen]}"
frozen_at=$SECONDS
others=$(printf '%s\n' "${http[@]}" | grep -vxF "${http[$frozen]}" |
    paste -sd,)
export CICADABAY_INSTANCES=$others
new_leader() {
	local l
	l=$(leader)
	[ -n "$l" ] && [ "$l" -ne 0 ] && [ "$l" -ne "$frozen" ]
}
wait_for 10 "another leader" new_leader
applied() {
	"$build/cicadabay" apply --version 1 --change-id after \
	    "$work/after.ini"
}
wait_for 10 "accepted change" applied
# These wait in the socket of the frozen instance and are the first it reads.
early_pids=()
for i in $(seq 20); do
	curl -s -m 20 -o /dev/null -D "$work/early$i" \
	    "$frozen_url/svc/old/early-$i/." &
	early_pids+=($!)
	cluster_pids+=($!)
done
# The lease is 6 s.
past_lease() {
	[ $((SECONDS - frozen_at)) -ge 8 ]
}
wait_for 10 "end of the lease" past_lease
kill -CONT "${instance_pid[$frozen]}"
for i in "${early_pids[@]}"; do
	wait "$i" || fail "a request to the continued instance got no answer"
done
stale=$(grep -il '^cicadabay-reason: config_stale' "$work"/early* | wc -l)
gone=$(grep -il '^cicadabay-reason: unknown_class' "$work"/early* | wc -l)
echo "after the freeze: $stale refused as stale, $gone as unknown class"
[ "$stale" -ge 1 ] || fail "no request was refused as stale"
[ $((stale + gone)) -eq 20 ] || fail "$(cat "$work"/early*)"
removed() {
	curl -s -m 5 -o /dev/null -D - "$frozen_url/svc/old/late/." |
	    grep -qi '^cicadabay-reason: unknown_class'
}
wait_for 10 "the new configuration" removed
for i in $(seq 20); do
	removed || fail "the configuration reverted"
done
grep -qE '/(early-[0-9]+|late)/' "$work/worker.ledger" &&
    fail "a request of a removed class was run"
wait $load_pid
rc=$?
[ $rc -le 1 ] || fail "load ended with $rc"
cat "$work/load.out"
compare "$work/load.ledger"
echo "duplicates $dups, wrong $wrong, false not-run $false_not_run, not run $unrun"
[ $((dups + wrong + false_not_run + unrun)) -eq 0 ] || fail "promise broken"
[ "$(wc -l <"$work/load.ledger")" -eq 3000 ] || fail "requests without outcome"
job_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done" { print $5 }')" = 12 ]
}
wait_for 30 "finished job" job_done
removed || fail "the configuration reverted"
task_faults
echo "finished twice $twice, in two places $overlaps"
[ $((twice + overlaps)) -eq 0 ] || fail "a task ran twice"
instances_alive
