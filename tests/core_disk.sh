#!/usr/bin/env bash
# Guards against a replica of the job scheduler that ends, or goes on voting,
# when its disk is full, and against one that doesn't take part again once the
# disk has space.
set -u
cd "$(dirname "$0")/.."
. scripts/replicas.sh

replicas_init "${1:-build/rel}" 127.93 3

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

# Writes of replica 3 fail once a file has reached 256 KiB.
(
	trap '' XFSZ
	ulimit -S -f 256
	exec "$build/cicadabay" core -c "$work/core-3.ini"
) >>"$work/core-3.log" 2>&1 &
pids[3]=$!
replica_start 1
replica_start 2
wait_for 20 "first configuration" replace_config 1 1
for v in $(seq 2 24); do
	wait_for 10 "configuration $v" replace_config "$v" $((v % 2 + 1))
done
wait_for 10 "counted disk failure" disk_failure_counted
grep -q 'crit core event=disk_failed' "$work/core-3.log" ||
    fail "the failure is not in the log"
kill -0 "${pids[3]}" 2>/dev/null ||
    fail "the replica ended after its disk failed"
heartbeat_write
wait_for 5 "heartbeat through the replica" heartbeat 3
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
