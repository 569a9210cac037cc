#!/usr/bin/env bash
# Guards against a peer port that crashes, hangs or accepts input that is not
# from a peer (random bytes, HTTP, a wrong version, a partial frame), and
# against accepted announcements of workers with impossible values.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

cluster_init "${1:-build/rel}" 1
instance_start 1
wait_for 20 "readiness" instance_ready 1
host=${peer[1]%:*}
port=${peer[1]#*:}
counter() {
	"$build/cicadabay" counters | awk -v n="node.$1" '$1 == n { print $2 }'
}
# The instance may close a connection while the shell still writes the next
# line to it; that must not end the test.
trap '' PIPE
# send BYTES: fails unless the instance closes the connection by itself.
send() {
	exec 3<>"/dev/tcp/$host/$port" || fail "no connection"
	printf "$1" >&3 2>/dev/null
	timeout 10 cat <&3 >/dev/null
	[ $? -ne 124 ] || fail "the connection stays open after $1"
	exec 3>&-
}
before=$(counter peer_bad_frame)
send 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
send '\001\377\003\004\005\006\007\010\011\012\013\014\015\016'
send 'CB\377\001\000\000\000\001\000\000\000\000x'
send 'CB\001\001\377\377\377\377\000\000\000\000'
after=$(counter peer_bad_frame)
[ "$after" -ge $((before + 4)) ] ||
    fail "4 bad frames, $((after - before)) counted"
# A partial frame that is never completed.
silent=$(counter peer_silent)
send 'CB\001\001\000\000'
[ "$(counter peer_silent)" -gt "$silent" ] ||
    fail "the silent connection was not counted"

announce() {
	curl -s -m 5 -o "$work/out" -w '%{http_code}' -X POST \
	    -H 'Content-Type: application/json' -d "$2" \
	    "http://${http[1]}/v1/workers/$1"
}
body='"incarnation":7,"addr":"127.0.0.1:9","mem_mb":100,"accel":0,"slots":8'
for cpu in 0 -5 1e99 99999999999999999999; do
	code=$(announce w1 "{$body,\"cpu_milli\":$cpu}")
	[ "$code" = 400 ] || fail "cpu_milli $cpu gave $code"
	grep -q INVALID "$work/out" ||
	    fail "the refusal has no type: $(cat "$work/out")"
done
for addr in 127.0.0.1 127.0.0.1:0 127.0.0.1:65536 127.0.0.1:99999 \
    127.0.0.1:-9 127.0.0.1:9x 127.0.0.1:99999999999999999999 :9 host:9; do
	code=$(announce w1 "{${body/127.0.0.1:9/$addr},\"cpu_milli\":1000}")
	[ "$code" = 400 ] || fail "address $addr gave $code"
done
for odd in "$(printf '[%.0s' $(seq 50000))" '{"a":[[[[[[[[[1]]]]]]]]]}'; do
	code=$(announce w1 "$odd")
	[ "$code" = 400 ] || fail "deep nesting gave $code"
done
[ "$(announce w1 "{$body,\"cpu_milli\":1000}")" = 200 ] ||
    fail "a valid announcement was refused"
first=$(grep -o '"epoch":[0-9]*' "$work/out")
# The same incarnation again has the same epoch; another one supersedes it.
[ "$(announce w1 "{$body,\"cpu_milli\":1000}")" = 200 ] ||
    fail "the repeated announcement was refused"
[ "$(grep -o '"epoch":[0-9]*' "$work/out")" = "$first" ] ||
    fail "a repeated announcement got a new epoch"
[ "$(announce w1 "{${body/7/8},\"cpu_milli\":1000}")" = 200 ] ||
    fail "the announcement of a second incarnation was refused"
[ "$(grep -o '"epoch":[0-9]*' "$work/out")" != "$first" ] ||
    fail "two incarnations share an epoch"
instance_ready 1 || fail "the instance is not ready any more"
check_instances_alive
echo "bad frames closed and counted, impossible announcements refused"
