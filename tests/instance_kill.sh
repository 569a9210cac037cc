#!/usr/bin/env bash
# Guards against a request with a key that is run twice, or answered wrongly,
# when the instance that accepted it is killed and the client asks another one.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
for i in 1 2 3; do
	worker_start "w$i" --serves tally --service-ms 20 --jitter-ms 10
done
wait_for 10 "workers" worker_count_is 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" is_served "$i"
done

"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 32 --keyed 100 --ledger "$work/load.ledger" \
    >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 30 "requests" requests_started 600
instance_kill 2
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
compare_ledgers "$work/load.ledger"
print_comparison
[ $((duplicates + wrong_answers + false_not_run + answered_without_run)) \
    -eq 0 ] || fail "a guarantee was violated"
recorded=$(wc -l <"$work/load.ledger")
[ "$recorded" -eq 3000 ] || fail "$recorded of 3000 requests have an outcome"
grep -q '^retried [1-9]' "$work/load.out" ||
    fail "no request was retried, so the kill hit none"
# Only requests that the killed instance had sent to a worker and whose answer
# it had not recorded yet may have an unknown outcome.
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -le 32 ] || fail "$unknown requests with unknown outcome"
check_instances_alive
