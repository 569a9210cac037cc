#!/usr/bin/env bash
# Guards against a planned stop that cuts off a request in flight, takes new
# work after the settle time, or does not end with exit status 0.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
for i in 1 2 3; do
	printf '[shutdown]\nsettle = 1s\n' >>"$work/i$i.ini"
done
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start slow --serves tally --service-ms 4500 --slots 40
wait_for 10 "workers" worker_count_is 1
# The slow worker exceeds the time limit of is_served, so this one is longer.
is_served_slowly() {
	curl -s -m 8 "http://${http[1]}/svc/tally/probe" | grep -q worker
}
wait_for 30 "service by instance 1" is_served_slowly

stopping=$(leader)
url=http://${http[$stopping]}
for i in 1 2 3 4 5; do
	curl -s -m 20 -o "$work/answer$i" -w '%{http_code}\n' -X POST \
	    -d "$i" "$url/svc/tally/flight-$i/." >"$work/code$i" &
	curl_pid[i]=$!
	cluster_pids+=($!)
done
in_flight() {
	[ "$(grep -c flight- "$work/worker.ledger")" -eq 5 ]
}
wait_for 10 "requests in flight" in_flight
stop_pid=${instance_pid[$stopping]}
kill -TERM "$stop_pid"
not_ready() {
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "$url/readyz")" = 503 ]
}
wait_for 3 "refusal by /readyz" not_ready
settle_time_is_over() {
	grep -q event=drain_settled "$work/i$stopping.log"
}
wait_for 10 "end of the settle time" settle_time_is_over
# From now on a new request is refused as not run; those in flight continue.
is_refused() {
	curl -s -m 8 -D - "$url/svc/tally/late/." |
	    grep -qi '^cicadabay-reason: draining'
}
wait_for 3 "refusal of new work" is_refused
for i in 1 2 3 4 5; do
	wait "${curl_pid[i]}" || fail "request $i in flight was cut off"
	[ "$(cat "$work/code$i")" = 200 ] ||
	    fail "request $i ended with $(cat "$work/code$i")"
	grep -q "flight-$i/" "$work/answer$i" ||
	    fail "wrong answer to request $i"
done
has_ended() {
	! kill -0 "$stop_pid"
}
wait_for 20 "end of the instance" has_ended
wait "$stop_pid" || fail "the instance ended with $?"
grep -q event=drain_end "$work/i$stopping.log" ||
    fail "the log has no end of the drain"
grep -q event=drain_timeout "$work/i$stopping.log" && fail "the drain timed out"
new_leader() {
	local l
	l=$(leader)
	[ -n "$l" ] && [ "$l" -ne 0 ] && [ "$l" -ne "$stopping" ]
}
wait_for 5 "another leader" new_leader
killed[stopping]=1
check_instances_alive
echo "five requests in flight answered; leadership moved from $stopping"
