#!/usr/bin/env bash
# Guards against a check of a configuration that accepts what a replica refuses,
# or that hides a difference to the version in force.
set -u
cd "$(dirname "$0")/.."
. scripts/replicas.sh

replicas_init "${1:-build/rel}" 127.97 3
for i in 1 2 3; do
	replica_start "$i"
done

# write VERSION TARGET_MS SERVICE FILE
write() {
	cat >"$work/$4" <<-JSON
	{"version":$1,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",
	"timeoutMs":3000,"targetLatencyMs":$2,"service":"$3"}],
	"services":[{"name":"svc"}]}
	JSON
}

# check STATUS TEXT FILE OPTION...: the check's exit status and a line of it.
check() {
	local status=$1 text=$2 file=$3 rc=0
	shift 3
	"$build/cicadabay" check-config "$work/$file" "$@" \
	    >"$work/out" 2>&1 || rc=$?
	[ $rc = "$status" ] || fail "$file: exit status $rc: $(cat "$work/out")"
	grep -qF -- "$text" "$work/out" ||
	    fail "$file: no \"$text\" in: $(cat "$work/out")"
}

write 5 300 svc old.json
write 6 400 svc new.json
write 6 300 other unknown.json
check 3 "" new.json --compare -i "$net.9:8166"
wait_for 20 "accepted configuration" post 1 /-/Config.Replace "$work/old.json"
check 0 "no findings" new.json
check 1 "unknown service other" unknown.json
check 0 "change: queue q: objective in ms 300 becomes 400" new.json \
    --compare -i "$net.1:8166"
check 1 "isn't higher than 5 in force" old.json --compare -i "$net.2:8166"
post 1 /-/Config.Replace "$work/unknown.json" && fail "a replica accepts unknown.json"
echo "the check agrees with the replicas"
