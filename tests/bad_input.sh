#!/usr/bin/env bash
# Guards against an instance that crashes, hangs or answers without an error
# type on malformed requests, and against slots that leak when clients
# disconnect before their answer. Runs with two traffic threads.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

node_settings=('traffic_threads = 2')
cluster_init "${1:-build/rel}" 1
instance_start 1
wait_for 20 "readiness" instance_ready 1
classes_write
"$build/cicadabay" apply "$work/classes.ini" >/dev/null || fail "apply"
worker_start w --serves tally --service-ms 300 --slots 16
wait_for 10 "workers" worker_count_is 1
wait_for 10 "service" is_served 1
url=http://${http[1]}
host=${http[1]%:*}
http_port=${http[1]#*:}

# send_raw BYTES: sends them and prints the first line of the answer, if any.
send_raw() {
	exec 3<>"/dev/tcp/$host/$http_port" || fail "no connection"
	# Sent by one write: bytes that arrive after the answer was sent reset
	# the connection, and the answer may be lost with it.
	printf "$1" >"$work/raw"
	cat "$work/raw" >&3
	timeout 5 head -n 1 <&3
	exec 3>&-
}
http_status() {
	curl -s -m 10 -o "$work/out" -w '%{http_code}' "$@"
}
expect_status() {
	local want=$1 got
	shift
	got=$(http_status "$@")
	[ "$got" = "$want" ] || fail "$*: status $got, expected $want"
}

send_raw 'GARBAGE\r\n\r\n' >/dev/null
send_raw 'GET /healthz HTTP/9.9\r\n\r\n' >/dev/null
send_raw 'GET /healthz HTTP/1.1\r\n\r\n' >/dev/null
send_raw 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n' |
    grep -q ' 400 ' || fail "a negative length was not refused with 400"
send_raw 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx' |
    grep -q ' 400 ' || fail "two lengths were not refused with 400"
send_raw 'POST /svc/tally/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' |
    grep -q ' 400 ' ||
    fail "a length with a transfer coding was not refused with 400"
send_raw '\000\001\002\377\376\r\n\r\n' >/dev/null
expect_status 404 "$url/v1/nothing"
expect_status 405 -X PATCH "$url/v1/jobs"
expect_status 400 -X POST -d '{"a":' "$url/v1/jobs"
expect_status 400 -X POST -d '{"a":1}' "$url/v1/jobs"
expect_status 403 -X PUT "$url/v1/classes" -d '{"change_id":"a","expected_version":1,
    "classes":[{"name":"c","urgent":true,"weight":2}]}'
expect_status 400 "$url/svc/tally/$(printf 'x%.0s' $(seq 5000))"
expect_status 400 -H 'Request-Timeout-Ms: soon' "$url/svc/tally/x"
expect_status 400 -H "Idempotency-Key: $(printf 'k%.0s' $(seq 200))" "$url/svc/tally/x"
grep -q '"outcome":"not-run"' "$work/out" ||
    fail "the answer to a bad key has no outcome"
expect_status 404 "$url/svc/unknown/x"
expect_status 404 "$url/svc/"
head -c 2000000 /dev/zero >"$work/large"
expect_status 413 -X POST --data-binary @"$work/large" "$url/svc/tally/x"
expect_status 413 -X POST -H 'Transfer-Encoding: chunked' \
    --data-binary @"$work/large" "$url/svc/tally/x"
headers=()
for i in $(seq 100); do
	headers+=(-H "X-Field-$i: value")
done
expect_status 431 "${headers[@]}" "$url/healthz"

# Clients disconnect before their answer; their slots are freed.
for i in $(seq 40); do
	curl -s -m 0.1 -X POST -d x "$url/svc/tally/leave-$i/." >/dev/null &
done
wait_for 10 "disconnected clients" eval \
    '[ "$("$build/cicadabay" counters --json | jq .node.http_client_gone)" -ge 20 ]'
slots_are_free() {
	local i
	for i in 1 2 3 4 5 6 7 8; do
		curl -s -m 4 "$url/svc/tally/again-$i/." | grep -q worker ||
		    return 1
	done
}
wait_for 20 "free slots" slots_are_free

counters=$("$build/cicadabay" counters --json)
for name in http_bad_target http_bad_header http_body_limit api_no_route \
    api_bad_method api_bad_json api_bad_field http_client_gone; do
	[ "$(jq ".node.$name" <<<"$counters")" -gt 0 ] ||
	    fail "$name was not counted"
done
check_instances_alive
kill -TERM "${instance_pid[1]}"
wait "${instance_pid[1]}" || fail "the instance ended with $?"
echo "all refusals have a type and were counted"
