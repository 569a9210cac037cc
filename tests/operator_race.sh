#!/usr/bin/env bash
# Guards against two accepted changes of one version, a conflict that does not
# show the current version, and a resend after the leader was killed that makes
# a second change or gets another answer.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
version() {
	curl -s -m 5 "http://${http[$1]}/v1/classes" | jq .version
}
bound_ms() {
	curl -s -m 5 "http://${http[$1]}/v1/classes" |
	    jq '.classes[] | select(.name == "tally") | .bound_ms'
}
for i in $(seq 6); do
	sed "s/answer_within = .*/answer_within = $((200 + i))ms/" \
	    "$work/classes.ini" >"$work/race$i.ini"
done
for round in 1 2 3; do
	pids=()
	for i in $(seq 6); do
		"$build/cicadabay" apply --json \
		    --instance "${http[$(((i - 1) % 3 + 1))]}" \
		    --version "$round" --change-id "race-$round-$i" \
		    "$work/race$i.ini" >"$work/out$i" 2>&1 &
		pids[i]=$!
		cluster_pids+=($!)
	done
	winner=
	for i in $(seq 6); do
		wait "${pids[i]}"
		rc=$?
		if [ $rc -eq 0 ]; then
			[ -z "$winner" ] ||
			    fail "changes $winner and $i were both accepted"
			winner=$i
			continue
		fi
		[ $rc -eq 1 ] || fail "exit $rc: $(cat "$work/out$i")"
		grep -q CONFLICT "$work/out$i" || fail "$(cat "$work/out$i")"
		grep -qE "\"version\": ?$((round + 1))([^0-9]|\$)" \
		    "$work/out$i" ||
		    fail "no current version: $(cat "$work/out$i")"
	done
	[ -n "$winner" ] || fail "no change was accepted in round $round"
	for i in 1 2 3; do
		[ "$(version "$i")" = $((round + 1)) ] ||
		    fail "instance $i doesn't show version $((round + 1))"
		[ "$(bound_ms "$i")" = $((200 + winner)) ] ||
		    fail "instance $i doesn't show the accepted change"
	done
done
killed_leader=$(leader)
instance_kill "$killed_leader"
resend_is_answered() {
	"$build/cicadabay" apply --json --version 3 \
	    --change-id "race-3-$winner" "$work/race$winner.ini" \
	    >"$work/resend"
}
wait_for 15 "answer to the resend" resend_is_answered
[ "$(jq .version "$work/resend")" = 4 ] || fail "$(cat "$work/resend")"
for i in 1 2 3; do
	[ "$i" -eq "$killed_leader" ] && continue
	[ "$(version "$i")" = 4 ] || fail "the resend made a second change"
	[ "$(bound_ms "$i")" = $((200 + winner)) ] ||
	    fail "instance $i shows another change"
done
check_instances_alive
echo "one accepted change in each of 3 rounds; the resend changed nothing"
