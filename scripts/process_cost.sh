#!/usr/bin/env bash
# Measures processor time and memory of three real instances at rest, with
# 20, 65 and 200 idle workers that poll once a second: "name value unit".
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
have=0
for size in 20 65 200; do
	worker_start "w$size" --count $((size - have)) --serves tally
	have=$size
	wait_for 20 "$size workers" worker_count_is "$size"
	sleep 2
	lead=$(leader)
	for i in 1 2 3; do
		before[i]=$(ticks "${instance_pid[i]}")
	done
	sleep $seconds
	other=0
	for i in 1 2 3; do
		used=$(($(ticks "${instance_pid[i]}") - before[i]))
		share=$(awk -v t=$used -v s=$seconds -v h="$ticks_per_s" \
		    'BEGIN { printf "%.2f", 100 * t / h / s }')
		if [ "$i" -eq "$lead" ]; then
			echo "process_cpu_leader_$size $share %"
			echo "process_rss_leader_$size" \
			    "$(resident_kb "${instance_pid[i]}") KiB"
		elif [ $other -eq 0 ]; then
			other=1
			echo "process_cpu_follower_$size $share %"
			echo "process_rss_follower_$size" \
			    "$(resident_kb "${instance_pid[i]}") KiB"
		fi
	done
done
