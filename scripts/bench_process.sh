#!/usr/bin/env bash
# Measures real processes on loopback: the answer time of direct calls to fake
# workers, of calls through the instances and of those with an idempotency key,
# the throughput, the processor time per request, and the time from the loss of
# the leader to the next accepted change.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

requests=8000
rounds=10
ticks_per_s=$(getconf CLK_TCK)

ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

now_ms() {
	echo $(($(date +%s%N) / 1000000))
}

# measure_load NAME ADDRESSES OPTION...: runs the load tool and prints the
# percentiles of the answer time, the requests per second and the failures.
measure_load() {
	local name=$1 addresses=$2 begin_ms
	shift 2
	begin_ms=$(now_ms)
	"$build/load" --instances "$addresses" --class tally "$@" \
	    >"$work/load.out" || fail "load: $(cat "$work/load.out")"
	awk -v n="process_$name" -v ms=$(($(now_ms) - begin_ms)) '
	/^p[0-9]+_ms/ { q = $1; sub("_ms", "", q); print n "_" q, $2, "ms" }
	$1 == "answered" { printf "%s_rate %.0f 1/s\n", n, 1000 * $2 / ms }
	($1 == "not_run" || $1 == "unknown" || $1 == "wrong") && $2 > 0 {
		print n "_" $1, $2, "requests" }' "$work/load.out"
}

cluster_init "$1" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start w --count 10 --serves tally --service-ms 2 --slots 32 \
    --connections 400 --no-guards
wait_for 20 "workers" worker_count_is 10
wait_for 20 "service" is_served 1
workers=$("$build/cicadabay" workers |
    grep -o '127\.0\.0\.1:[0-9]*' | paste -sd,)
measure_load direct "$workers" --direct --count $requests --concurrency 16 \
    --keyed 0
measure_load through "$instances" --count $requests --concurrency 16 \
    --keyed 0
measure_load keyed "$instances" --count $requests --concurrency 16 \
    --keyed 100
before=$(ticks "${instance_pid[1]}")
measure_load one_instance_busy "${http[1]}" --count 20000 --concurrency 64 \
    --keyed 0
awk -v t=$(($(ticks "${instance_pid[1]}") - before)) -v h="$ticks_per_s" \
    'BEGIN { printf "process_cpu_per_request %.0f us\n", t / h / 20000 * 1e6 }'

version=1
for ((i = 0; i < rounds; i++)); do
	wait_for 20 "replicas" voter_count_is 3
	leader_id=$(leader)
	instance_kill "$leader_id"
	begin_ms=$(now_ms)
	until "$build/cicadabay" apply --version $version \
	    "$work/classes.ini" >/dev/null 2>&1; do
		[ $(($(now_ms) - begin_ms)) -lt 20000 ] || fail "no new leader"
	done
	echo $(($(now_ms) - begin_ms)) >>"$work/failover"
	version=$((version + 1))
	instance_start "$leader_id"
	wait_for 20 "readiness" instance_ready "$leader_id"
done
sort -n "$work/failover" | awk -v n=$rounds '
	{ v[NR] = $1 }
	END { print "process_failover_median", v[int((n + 1) / 2)], "ms"
	    print "process_failover_max", v[n], "ms" }'
