#!/usr/bin/env bash
# Runs five replicas and three entry instances on loopback with a fleet of
# emulated workers. Prints the processor time of each instance, the report of
# the fleet and the number of some log events.
# usage: scripts/fleet.sh BUILD [WORKERS [SECONDS [SCALE]]]
# FLEET_PERF=DIR records a perf profile of each replica in DIR; FLEET_KEEP=1
# keeps the folder with settings, data and logs.
set -eu
build=$1
workers=${2:-450}
seconds=${3:-10}
scale=${4:-1}
net=127.90
dir=$(mktemp -d)
pids=()
names=()
cleanup() {
	for p in "${pids[@]}"; do
		kill "$p" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$dir"
}
trap cleanup EXIT

seeds=$net.2.1:8166,$net.2.2:8166,$net.2.3:8166
# Writes the settings of an instance and starts it.
start_instance() { # NAME KIND IP LINES...
	local name=$1 kind=$2 ip=$3
	shift 3
	{
		echo "[instance]"
		echo "name = $name"
		echo "ip = $ip"
		echo "domain = z${name##*-}"
		echo "peer_port = 7720"
		echo "seeds = $seeds"
		echo "tolerate = 2"
		printf '%s\n' "$@"
	} >"$dir/$name.ini"
	"$build/cicadabay" "$kind" -c "$dir/$name.ini" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	names+=("$name")
}

cpu_ticks() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

cores=
gates=
for i in 1 2 3 4 5; do
	start_instance core-$i core $net.2.$i "found = true" "counted = true" \
	    "data = $dir/core-$i" "control = $net.2.$i:8166" \
	    "metrics = $net.2.$i:9464"
	cores=$cores,$net.2.$i:8166
done
for i in 1 2 3; do
	start_instance gate-$i gate $net.3.$i "clients = $net.3.$i:8161"
	gates=$gates,$net.3.$i:8161
done
sleep 2
"$build/fleet" cores="${cores#,}" gates="${gates#,}" workers="$workers" \
    seconds="$seconds" scale="$scale" >"$dir/fleet.out" &
fleet_pid=$!
pids+=($fleet_pid)
sleep 9
ticks_before=()
for p in "${pids[@]:0:8}"; do
	ticks_before+=("$(cpu_ticks "$p")")
done
if [ -n "${FLEET_PERF:-}" ]; then
	for i in 0 1 2 3 4; do
		perf record -q -g -F 499 -p "${pids[$i]}" \
		    -o "$FLEET_PERF/core-$((i + 1)).data" -- \
		    sleep $((seconds - 3)) >/dev/null 2>&1 &
	done
fi
sleep $((seconds - 2))
ticks_per_s=$(getconf CLK_TCK)
for i in "${!ticks_before[@]}"; do
	ticks_now=$(cpu_ticks "${pids[$i]}")
	leads=$(grep -c 'event=lead ' "$dir/${names[$i]}.log" || true)
	echo "${names[$i]} cpu $(((ticks_now - ${ticks_before[$i]}) * 1000 /
	    ticks_per_s / (seconds - 2))) ms_per_s leads=$leads"
done
wait $fleet_pid || true
cat "$dir/fleet.out"
grep -hE 'event=(lines_dropped|relay_lost|worker_silent|disk_failed)' \
    "$dir"/*.log | grep -oE 'event=[a-z_]+' | sort | uniq -c
