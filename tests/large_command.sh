#!/usr/bin/env bash
# Guards against one request that is too large for the log and stops all later
# changes: a configuration, or the heartbeat of a worker with very many labels.
set -u
cd "$(dirname "$0")/.."
build=${1:-build/rel}
port=${CLUSTER_PORT:-10000}
addr=127.95.$((port / 500 % 200)).1
work=$(mktemp -d)
pid=

cleanup() {
	[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT

fail() {
	echo "large_command: $1"
	cut -c1-300 "$work/core.log" | tail -n 20
	exit 1
}

# post PATH FILE: prints the status.
post() {
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Expect:' \
	    -H 'Content-Type: application/json' --data-binary "@$2" \
	    "http://$addr:8166$1"
}

# expect STATUS PATH FILE
expect() {
	local status
	status=$(post "$2" "$3")
	[ "$status" = "$1" ] || fail "$2 with $(basename "$3") gave $status"
}

# write_config VERSION PADDING
write_config() {
	printf '{"version":%d,"pad":"%s","routes":[],' "$1" "$2"
	printf '"services":[{"name":"svc"}]}'
}

# write_heartbeat LABEL
write_heartbeat() {
	printf '{"service":"svc","address":"127.0.0.1:9","zone":"z","slots":8,'
	printf '"state":"ready","capacity":{"cpu":16000,"memMb":1024,"gpu":0},'
	printf '"labels":["%s"],"born":1,"clockMs":5,"seq":1}' "$1"
}

cat >"$work/core.ini" <<-INI
	[instance]
	name = core-1
	ip = $addr
	domain = z
	peer_port = 7720
	seeds = $addr:8166
	found = true
	counted = true
	tolerate = 0
	data = $work/data
	control = $addr:8166
	metrics = $addr:9464
INI
"$build/cicadabay" core -c "$work/core.ini" >"$work/core.log" 2>&1 &
pid=$!
padding=$(printf '%*s' 1100000 '' | tr ' ' x)
write_config 1 '' >"$work/first.json"
write_config 2 "$padding" >"$work/large.json"
write_config 3 "${padding:0:600000}" >"$work/next.json"
write_heartbeat "$padding" >"$work/large_heartbeat.json"
write_heartbeat r1 >"$work/heartbeat.json"
n=0
until [ "$(post /-/Config.Replace "$work/first.json")" = 200 ]; do
	n=$((n + 1))
	[ $n -lt 100 ] || fail "the first configuration was not accepted"
	sleep 0.1
done
expect 400 /-/Config.Replace "$work/large.json"
expect 400 /-/Instances.Heartbeat/i-1 "$work/large_heartbeat.json"
expect 200 /-/Config.Replace "$work/next.json"
expect 200 /-/Instances.Heartbeat/i-1 "$work/heartbeat.json"
kill -0 "$pid" 2>/dev/null || fail "the replica has ended"
echo "requests that are too large were refused, later ones took effect"
