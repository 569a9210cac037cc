#!/usr/bin/env bash
# Guards against an accepted configuration, job or change id that is lost, or
# an older configuration that is restored, when all replicas are killed.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 3
cluster_start 3
classes_write
for i in $(seq 1 30); do
	sed "s/answer_within = .*/answer_within = $((200 + i))ms/" \
	    "$work/classes.ini" >"$work/classes$i.ini"
	"$build/cicadabay" apply --change-id "change-$i" \
	    "$work/classes$i.ini" >/dev/null || fail "apply $i"
done
"$build/cicadabay" submit --class report --cpu 1 --memory 10MiB \
    --change-id job-1 >/dev/null || fail "submit"
for i in 1 2 3; do
	instance_kill "$i"
done
for i in 1 2 3; do
	instance_start "$i"
done
for i in 1 2 3; do
	wait_for 20 "readiness of instance $i" instance_ready "$i"
	version=$(curl -s "http://${http[i]}/v1/classes" | jq .version)
	bound=$(curl -s "http://${http[i]}/v1/classes" |
	    jq '.classes[] | select(.name == "tally") | .bound_ms')
	[ "$version" = 30 ] || fail "version $version on instance $i"
	[ "$bound" = 230 ] || fail "bound $bound ms on instance $i"
done
# A resend after the restart gets the first answer, not a second change.
out=$("$build/cicadabay" apply --json --change-id change-30 --version 29 \
    "$work/classes30.ini") || fail "resend: $out"
[ "$(jq .version <<<"$out")" = 30 ] || fail "resend gave $out"
jobs=$("$build/cicadabay" jobs --json | jq '.jobs | length')
[ "$jobs" = 1 ] || fail "$jobs jobs after the restart"
check_instances_alive
echo "version 30 and the job were kept"
