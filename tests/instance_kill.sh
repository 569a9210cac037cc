#!/usr/bin/env bash
# Guards against a request with a key that is run twice, or answered wrongly,
# when the instance that took it is killed and the client asks another one.
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
wait_for 10 "workers" workers_are 3
for i in 1 2 3; do
	wait_for 10 "service by instance $i" served "$i"
done

"$build/load" --instances "$instances" --class tally --count 3000 --rate 300 \
    --concurrency 32 --keyed 100 --ledger "$work/load.ledger" \
    >"$work/load.out" &
load_pid=$!
cluster_pids+=($load_pid)
wait_for 30 "requests" requests_run 600
instance_kill 2
wait $load_pid || fail "load: $(cat "$work/load.out")"
cat "$work/load.out"
compare "$work/load.ledger"
echo "duplicates $dups, wrong $wrong, false not-run $false_not_run, not run $unrun"
[ $((dups + wrong + false_not_run + unrun)) -eq 0 ] || fail "promise broken"
asked=$(wc -l <"$work/load.ledger")
[ "$asked" -eq 3000 ] || fail "$asked of 3000 requests have an outcome"
grep -q '^retried [1-9]' "$work/load.out" ||
    fail "no request was retried: the kill was not seen"
# Unknown is only what the killed instance had sent and not yet recorded.
unknown=$(awk '$4 == "unknown"' "$work/load.ledger" | wc -l)
[ "$unknown" -le 32 ] || fail "$unknown requests with unknown outcome"
instances_alive
