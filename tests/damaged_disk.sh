#!/usr/bin/env bash
# Guards against a replica that loses accepted changes to a torn write, that
# starts on a damaged log, or that votes under an identity whose disk is gone.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
for version in 0 1 2 3 4 5; do
	"$build/cicadabay" apply --version $version "$work/classes.ini" \
	    >/dev/null || fail "apply at version $version"
done
at_version_6() {
	"$build/cicadabay" classes | grep -q '^version *6$'
}
replica_of() {
	"$build/cicadabay" members | awk -v i="$1" '$2 == i { print $1 }'
}
is_voter() {
	"$build/cicadabay" members |
	    awk -v i="$1" '$2 == i && $3 == "true" { n++ } END { exit n != 1 }'
}
instance_has_ended() {
	! kill -0 "${instance_pid[$1]}" 2>/dev/null
}
newest_log() {
	ls "$work/data$1"/log-* | tail -n 1
}
at_version_6 || fail "the version is not 6"

# A torn tail: the last record is incomplete.
instance_kill 2
wait_for 10 "end of instance 2" instance_has_ended 2
log=$(newest_log 2)
truncate -s -3 "$log"
instance_start 2
wait_for 20 "readiness after a torn tail" instance_ready 2
wait_for 10 "vote after a torn tail" is_voter 2

# A damaged record with valid ones after it.
instance_kill 2
wait_for 10 "end of instance 2" instance_has_ended 2
log=$(newest_log 2)
cp "$log" "$work/intact"
offset=$(($(stat -c %s "$log") / 3))
byte=$(od -An -tu1 -j "$offset" -N 1 "$log")
printf "$(printf '\\%03o' $((byte ^ 255)))" |
    dd of="$log" bs=1 seek="$offset" conv=notrunc 2>/dev/null
if timeout 10 "$build/cicadabay" serve -c "$work/i2.ini" 2>"$work/refused"; then
	fail "a damaged log was accepted"
fi
grep -q CORRUPT "$work/refused" ||
    fail "the refusal doesn't say CORRUPT: $(cat "$work/refused")"

# An empty folder: the replica gets a new identity and the old one is removed.
# For a moment both are members: the new one is added without a vote, the old
# one is removed, then the new one gets its vote.
old=$(replica_of 2)
rm -rf "$work/data2"
instance_start 2
has_new_identity() {
	local now
	now=$(replica_of 2)
	[ "$(wc -w <<<"$now")" -eq 1 ] && [ "$now" != "$old" ] && is_voter 2
}
wait_for 20 "vote under a new identity" has_new_identity
"$build/cicadabay" members | grep -q "^$old " && fail "$old is still a member"

# A second loss right after the repair leaves a majority with all changes.
instance_kill 1
wait_for 15 "changes after the second loss" at_version_6
"$build/cicadabay" apply --version 6 "$work/classes.ini" >/dev/null ||
    fail "no change accepted after the second loss"
echo "torn tail cut, damaged log refused, replica replaced, loss survived"
