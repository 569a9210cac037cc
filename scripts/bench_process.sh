#!/usr/bin/env bash
# Measures real processes on loopback: latency added to a direct call of the
# fake worker, throughput, processor time per request, cost of a key, and the
# time from the loss of the leader to the first accepted change.
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

# run NAME ADDRESSES OPTION...: prints the quantiles and requests a second.
run() {
	local name=$1 addresses=$2 begin
	shift 2
	begin=$(now_ms)
	"$build/load" --instances "$addresses" --class tally "$@" \
	    >"$work/load.out" || fail "load: $(cat "$work/load.out")"
	awk -v n="process_$name" -v ms=$(($(now_ms) - begin)) '
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
run direct "$workers" --direct --count $requests --concurrency 16 --keyed 0
run through "$instances" --count $requests --concurrency 16 --keyed 0
run keyed "$instances" --count $requests --concurrency 16 --keyed 100
before=$(ticks "${instance_pid[1]}")
run one_instance_busy "${http[1]}" --count 20000 --concurrency 64 --keyed 0
awk -v t=$(($(ticks "${instance_pid[1]}") - before)) -v h="$ticks_per_s" \
    'BEGIN { printf "process_cpu_per_request %.0f us\n", t / h / 20000 * 1e6 }'

version=1
for ((i = 0; i < rounds; i++)); do
	wait_for 20 "replicas" voter_count_is 3
	lead=$(leader)
	instance_kill "$lead"
	begin=$(now_ms)
	until "$build/cicadabay" apply --version $version \
	    "$work/classes.ini" >/dev/null 2>&1; do
		[ $(($(now_ms) - begin)) -lt 20000 ] || fail "no new leader"
	done
	echo $(($(now_ms) - begin)) >>"$work/failover"
	version=$((version + 1))
	instance_start "$lead"
	wait_for 20 "readiness" instance_ready "$lead"
done
sort -n "$work/failover" | awk -v n=$rounds '
	{ v[NR] = $1 }
	END { print "process_failover_median", v[int((n + 1) / 2)], "ms"
	    print "process_failover_max", v[n], "ms" }'
