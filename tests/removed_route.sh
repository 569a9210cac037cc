#!/usr/bin/env bash
# Guards against a job that can't be cancelled because its route was removed, and
# against one that is said not to have been taken although it was: plays the life
# of jobs whose route goes and comes back, with a replica and an entry instance.
set -u
cd "$(dirname "$0")/.."
build=${1:-build/rel}
port=${CLUSTER_PORT:-10000}
core=127.96.$((port / 500 % 200)).1
gate=127.96.$((port / 500 % 200)).2
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
	echo "removed_route: $1"
	tail -n 20 "$work/core.log" "$work/gate.log" | cut -c1-300
	exit 1
}

# start ROLE IP LINE...: starts a process with these settings.
start() {
	local role=$1 ip=$2
	shift 2
	{
		printf '[instance]\nname = %s\nip = %s\ndomain = z\n' "$role" "$ip"
		printf 'peer_port = 7720\nseeds = %s:8166\ntolerate = 0\n' "$core"
		printf 'metrics = %s:9464\n' "$ip"
		printf '%s\n' "$@"
	} >"$work/$role.ini"
	"$build/cicadabay" "$role" -c "$work/$role.ini" >"$work/$role.log" 2>&1 &
	pids+=($!)
}

# configure VERSION ROUTES: waits until the configuration is accepted.
configure() {
	local body="{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"svc\"}]}"
	local n
	for ((n = 0; n < 100; n++)); do
		[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
		    -H 'Content-Type: application/json' -d "$body" \
		    "http://$core:8166/-/Config.Replace")" = 200 ] && return
		sleep 0.1
	done
	fail "configuration $1 was not accepted"
}

# call METHOD PATH [BODY]: prints the status and the body.
call() {
	curl -s -m 5 -w '%{http_code}' -X "$1" -H 'Host: h' \
	    -H 'X-Deadline-Ms: 3000' -H 'Content-Type: application/json' \
	    ${3:+-d "$3"} -o "$work/body" "http://$gate:8161$2"
	printf ' %s' "$(cat "$work/body" 2>/dev/null)"
	: >"$work/body"
}

# expect PATTERN METHOD PATH [BODY]
expect() {
	local got
	got=$(call "${@:2}")
	[[ $got == $1 ]] || fail "$2 $3 gave $got, not $1"
}

kept='{"name":"kept","host":"h","pathPrefix":"/kept/","service":"svc",
 "timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"maxAttempts":3}'
gone=${kept//kept/gone}
job='{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":500}]}'
a=00000000000000a1 b=00000000000000b2 c=00000000000000c3

start core $core "found = true" "counted = true" "data = $work/data" \
    "control = $core:8166"
start gate $gate "found = false" "counted = false" "clients = $gate:8161" \
    "readiness = $gate:8167"
configure 1 "$kept,$gone"
for ((n = 0; n < 100; n++)); do
	[[ $(call POST "/gone/$a" "$job") == 200* ]] && break
	sleep 0.1
done
expect '200*' POST "/gone/$b" "$job"
expect '200*waiting":2}' GET /gone/
configure 2 "$kept"
for path in "/gone/$a" /gone/; do
	expect '404*' GET "$path"
done
# The job was taken: an answer that it wasn't would be wrong, and none may
# succeed here.
expect '504*' POST "/gone/$a" "$job"
expect '404*' POST "/gone/$c" "$job"
expect '404*' DELETE "/gone/$c"
expect '404*' DELETE "/other/$a"
expect '410*' DELETE "/gone/$a"
expect '410*' DELETE "/gone/$a"
expect '504*' POST "/gone/$a" "$job"
expect '404*' GET "/gone/$a"
configure 3 "$kept,$gone"
expect '200*cancelled"}' GET "/gone/$a"
expect '200*queued"}' GET "/gone/$b"
expect '200*waiting":1}' GET /gone/
expect '200*' POST "/gone/$b" "$job"
expect '200*' DELETE "/gone/$b"
expect '200*waiting":0}' GET /gone/
# Without active jobs the queue is forgotten, but the jobs aren't.
configure 4 "$kept"
configure 5 "$kept"
expect '410*' DELETE "/gone/$b"
expect '504*' POST "/gone/$b" "$job"
echo "jobs of a removed route were cancelled, and none was denied"
