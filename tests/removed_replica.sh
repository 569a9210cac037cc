#!/usr/bin/env bash
# Guards against a replica that was removed while it was paused and tells a
# worker, whose registration has ended meanwhile, that it is registered, and
# against one that never becomes a member again.
set -u
cd "$(dirname "$0")/.."
build=${1:-build/rel}
port=${CLUSTER_PORT:-10000}
net=127.94.$((port / 500 % 200))
work=$(mktemp -d)
pids=()

cleanup() {
	for p in "${pids[@]}"; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT

fail() {
	echo "removed_replica: $1"
	tail -n 20 "$work"/core-*.log
	exit 1
}

wait_for() { # SECONDS WHAT COMMAND...
	local n=$(($1 * 10)) what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		n=$((n - 1))
		[ $n -gt 0 ] || fail "no $what"
		sleep 0.1
	done
}

write_settings() { # NUMBER
	cat >"$work/core-$1.ini" <<-INI
	[instance]
	name = core-$1
	ip = $net.$1
	domain = z$1
	peer_port = 7720
	seeds = $net.1:8166,$net.2:8166,$net.3:8166,$net.4:8166
	found = true
	counted = true
	tolerate = 1
	data = $work/data-$1
	control = $net.$1:8166
	metrics = $net.$1:9464
	INI
}

post() { # NUMBER PATH FILE
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
	    -H 'Content-Type: application/json' --data-binary "@$3" \
	    "http://$net.$1:8166$2")" = 200 ]
}

heartbeat() { # NUMBER
	post "$1" /-/Instances.Heartbeat/i-1 "$work/heartbeat.json"
}

count_lines() { # PATTERN NUMBER...
	local pattern=$1 logs=() i
	shift
	for i in "$@"; do
		logs+=("$work/core-$i.log")
	done
	cat "${logs[@]}" | grep -c "$pattern"
}

# count_is_above N PATTERN NUMBER...
count_is_above() {
	local n=$1
	shift
	[ "$(count_lines "$@")" -gt "$n" ]
}

fleet_is_empty() {
	grep event=fleet "$work/core-$leader.log" | tail -n 1 |
	    grep -q ' workers=0 '
}

cat >"$work/config.json" <<-JSON
	{"version":1,"routes":[],"services":[{"name":"svc"}]}
JSON
# Nothing answers at the worker's address, so that its registration ends.
cat >"$work/heartbeat.json" <<-JSON
	{"service":"svc","address":"127.0.0.1:9","zone":"z3","version":"v1",
	"slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,
	"memMb":32768,"gpu":0},"labels":["a","r1"],"born":1,"clockMs":5,"seq":1}
JSON
for i in 1 2 3 4; do
	write_settings "$i"
	"$build/cicadabay" core -c "$work/core-$i.ini" >"$work/core-$i.log" 2>&1 &
	pids[i]=$!
done
wait_for 20 "configuration" post 1 /-/Config.Replace "$work/config.json"
leader=
for i in 1 2 3 4; do
	grep event=role "$work/core-$i.log" | tail -n 1 | grep -q role=3 &&
	    leader=$i
done
[ -n "$leader" ] || fail "no leader"
paused=$((leader % 4 + 1))
others=()
for i in 1 2 3 4; do
	[ "$i" = "$paused" ] || others+=("$i")
done
wait_for 5 "registration of the worker" heartbeat "$paused"
wait_for 5 "registration in the log of the paused replica" \
    heartbeat "$paused"
kill -STOP "${pids[paused]}"
wait_for 15 "removal of the paused replica" \
    count_is_above 0 event=member_remove "${others[@]}"
wait_for 40 "end of the registration" fleet_is_empty
joined="event=member .* instance=[0-9]* voter=1"
members=$(count_lines "$joined" "$leader")
found=$(count_lines event=leader_found "$paused")
registered=$(count_lines 'event=worker id=i-1 ' "${others[@]}")
kill -CONT "${pids[paused]}"
wait_for 10 "contact of the replica with the leader" \
    count_is_above "$found" event=leader_found "$paused"
wait_for 5 "heartbeat through the replica" heartbeat "$paused"
wait_for 3 "second registration of the worker" \
    count_is_above "$registered" 'event=worker id=i-1 ' "${others[@]}"
# The list of four voters follows that with a learner.
wait_for 20 "return of the replica to the group" \
    count_is_above $((members + 3 + 3)) "$joined" "$leader"
for i in 1 2 3 4; do
	kill -0 "${pids[i]}" 2>/dev/null || fail "replica $i has ended"
done
echo "the worker was registered again, and the replica is a member again"
