#!/usr/bin/env bash
# Guards against a replica of the job scheduler that ends, or goes on voting,
# when its disk is full, and against one that doesn't take part again once the
# disk has space.
set -u
cd "$(dirname "$0")/.."
build=${1:-build/rel}
port=${CLUSTER_PORT:-10000}
net=127.93.$((port / 500 % 200))
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
	echo "core_disk: $1"
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
	seeds = $net.1:8166,$net.2:8166,$net.3:8166
	found = true
	counted = true
	tolerate = 1
	data = $work/data-$1
	control = $net.$1:8166
	metrics = $net.$1:9464
	INI
}

start_replica() { # NUMBER
	"$build/cicadabay" core -c "$work/core-$1.ini" \
	    >>"$work/core-$1.log" 2>&1 &
	pids[$1]=$!
}

post() { # NUMBER PATH FILE
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
	    -H 'Content-Type: application/json' --data-binary "@$3" \
	    "http://$net.$1:8166$2")" = 200 ]
}

replace_config() { # VERSION NUMBER: replaces it by one of about 24 KB
	{
		printf '{"version":%d,"routes":[' "$1"
		for i in $(seq 120); do
			[ "$i" = 1 ] || printf ','
			printf '{"name":"r-%d","host":"h%d.example",' "$i" "$i"
			printf '"pathPrefix":"/a%d/","kind":"unsafe",' "$i"
			printf '"timeoutMs":3000,"targetLatencyMs":250,'
			printf '"priority":0,"service":"svc",'
			printf '"maxAttempts":3,"stretch":1.5}'
		done
		printf '],"services":[{"name":"svc","healthPath":"/h"}],'
		printf '"limits":{"maxBodyBytes":262144}}'
	} >"$work/config.json"
	post "$2" /-/Config.Replace "$work/config.json"
}

disk_failure_counted() {
	curl -s "http://$net.3:9464/metrics" | grep -qE 'disk_failed(_total)? [1-9]'
}

for i in 1 2 3; do
	write_settings "$i"
done
# Writes of replica 3 fail once a file has reached 256 KiB.
(
	trap '' XFSZ
	ulimit -S -f 256
	exec "$build/cicadabay" core -c "$work/core-3.ini"
) >>"$work/core-3.log" 2>&1 &
pids[3]=$!
start_replica 1
start_replica 2
wait_for 20 "first configuration" replace_config 1 1
for v in $(seq 2 24); do
	wait_for 10 "configuration $v" replace_config "$v" $((v % 2 + 1))
done
wait_for 10 "counted disk failure" disk_failure_counted
grep -q 'crit core event=disk_failed' "$work/core-3.log" ||
    fail "the failure is not in the log"
kill -0 "${pids[3]}" 2>/dev/null ||
    fail "the replica ended after its disk failed"
cat >"$work/heartbeat.json" <<-JSON
	{"service":"svc","address":"127.0.0.1:9","zone":"z3","version":"v1",
	"slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,
	"memMb":32768,"gpu":0},"labels":["a","r1"],"born":1,"clockMs":5,"seq":1}
JSON
wait_for 5 "heartbeat through the replica" \
    post 3 /-/Instances.Heartbeat/i-1 "$work/heartbeat.json"
prlimit --pid "${pids[3]}" --fsize=unlimited: ||
    fail "prlimit can't lift the limit"
wait_for 20 "log of the recovered disk" \
    grep -q 'event=disk_back' "$work/core-3.log"
sleep 1
# Without replica 2 a majority needs replica 3.
kill -9 "${pids[2]}"
wait_for 15 "configuration with the replica's vote" replace_config 100 1
kill -0 "${pids[3]}" 2>/dev/null ||
    fail "the replica ended after its disk had recovered"
echo "the replica kept running with a full disk and voted again afterwards"
