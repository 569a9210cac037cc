#!/usr/bin/env bash
# Guards against a replica that was removed while it was paused and tells a
# worker, whose registration has ended meanwhile, that it is registered, and
# against one that never becomes a member again.
set -u
cd "$(dirname "$0")/.."
. scripts/replicas.sh

replicas_init "${1:-build/rel}" 127.94 4

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
heartbeat_write # its registration ends, as nothing answers there
for i in 1 2 3 4; do
	replica_start "$i"
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
