#!/usr/bin/env bash
# Measures the processor time and memory of the leader and one follower of three
# idle instances, with 20, 65 and 200 idle workers that poll once a second.
# Prints "name value unit" lines.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

seconds=8
ticks_per_s=$(getconf CLK_TCK)

ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

resident_kb() {
	awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}

cluster_init "$1" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
started=0
for size in 20 65 200; do
	worker_start "w$size" --count $((size - started)) --serves tally
	started=$size
	wait_for 20 "$size workers" worker_count_is "$size"
	sleep 2
	leader_id=$(leader)
	for i in 1 2 3; do
		before[i]=$(ticks "${instance_pid[i]}")
	done
	sleep $seconds
	follower_printed=0
	for i in 1 2 3; do
		used_ticks=$(($(ticks "${instance_pid[i]}") - before[i]))
		cpu_percent=$(awk -v t=$used_ticks -v s=$seconds \
		    -v h="$ticks_per_s" 'BEGIN { printf "%.2f", 100 * t / h / s }')
		if [ "$i" -eq "$leader_id" ]; then
			echo "process_cpu_leader_$size $cpu_percent %"
			echo "process_rss_leader_$size" \
			    "$(resident_kb "${instance_pid[i]}") KiB"
		elif [ $follower_printed -eq 0 ]; then
			follower_printed=1
			echo "process_cpu_follower_$size $cpu_percent %"
			echo "process_rss_follower_$size" \
			    "$(resident_kb "${instance_pid[i]}") KiB"
		fi
	done
done
