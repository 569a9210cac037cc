#!/usr/bin/env bash
# Guards against a leader that is frozen for longer than the worker lease and
# then acts on outdated state: a request run twice or answered wrongly, a task
# running in two places, or work accepted under a replaced configuration.
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
wait_for 10 "workers" worker_count_is 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done
frozen=$(leader)
frozen_url=http://${http[$frozen]}
curl -s -m 5 "$frozen_url/svc/old/before/." | grep -q worker ||
    fail "the old class is not served before the freeze"
# Without a leader (3) or with an unknown outcome (4) it is sent again under its
# change id, as the command line says; a second job would show in the count of
# tasks below.
submit_rc=4
submit_is_answered() {
	"$build/cicadabay" submit --class report --cpu 1 --memory 100MiB \
	    --tasks 12 --run-time 4s --change-id freeze
	submit_rc=$?
	[ $submit_rc -ne 3 ] && [ $submit_rc -ne 4 ]
}
wait_for 10 "outcome of the submission" submit_is_answered
[ $submit_rc -eq 0 ] || fail "submit ended with $submit_rc"
"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 128 --keyed 50 --idempotent 40 --timeout-ms 1000 \
    --ledger "$work/load.ledger" >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 20 "requests" requests_started 300
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
# These wait in the socket buffers of the frozen instance, which reads them
# first when it continues.
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
unknown=$(grep -il '^cicadabay-reason: unknown_class' "$work"/early* | wc -l)
echo "after the freeze: $stale refused as stale, $unknown as unknown class"
[ "$stale" -ge 1 ] || fail "no request was refused as stale"
[ $((stale + unknown)) -eq 20 ] || fail "$(cat "$work"/early*)"
class_is_removed() {
	curl -s -m 5 -o /dev/null -D - "$frozen_url/svc/old/late/." |
	    grep -qi '^cicadabay-reason: unknown_class'
}
wait_for 10 "use of the new configuration" class_is_removed
for i in $(seq 20); do
	class_is_removed || fail "the configuration reverted"
done
grep -qE '/(early-[0-9]+|late)/' "$work/worker.ledger" &&
    fail "a request of a removed class was run"
wait $load_pid
rc=$?
[ $rc -le 1 ] || fail "load ended with $rc"
cat "$work/load.out"
compare_ledgers "$work/load.ledger"
print_comparison
[ $((duplicates + wrong_answers + false_not_run + answered_without_run)) \
    -eq 0 ] || fail "a guarantee was violated"
[ "$(wc -l <"$work/load.ledger")" -eq 3000 ] || fail "requests without outcome"
job_done() {
	[ "$("$build/cicadabay" jobs | awk '$2 == "done" { print $5 }')" = 12 ]
}
wait_for 30 "finished job" job_done
class_is_removed || fail "the configuration reverted"
count_task_faults
echo "finished twice $finished_twice, running in two places $overlaps"
[ $((finished_twice + overlaps)) -eq 0 ] ||
    fail "a task finished twice or ran in two places"
check_instances_alive
