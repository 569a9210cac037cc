# Functions for the process tests of the job scheduler's replicas. Source it,
# then call replicas_init.

# replicas_init BUILD NET COUNT: prepares COUNT replicas at NET.1, NET.2 and so
# on; sets build, net, work and pids.
replicas_init() {
	local i
	build=$1
	net=$2.$((${CLUSTER_PORT:-10000} / 500 % 200))
	work=$(mktemp -d)
	pids=()
	trap replicas_cleanup EXIT
	seeds=
	for ((i = 1; i <= $3; i++)); do
		seeds=$seeds${seeds:+,}$net.$i:8166
	done
	for ((i = 1; i <= $3; i++)); do
		replica_settings "$i"
	done
}

replicas_cleanup() {
	local p
	for p in "${pids[@]}"; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}

# replica_settings NUMBER: writes the settings of a replica.
replica_settings() {
	cat >"$work/core-$1.ini" <<-INI
	[instance]
	name = core-$1
	ip = $net.$1
	domain = z$1
	peer_port = 7720
	seeds = $seeds
	found = true
	counted = true
	tolerate = 1
	data = $work/data-$1
	control = $net.$1:8166
	metrics = $net.$1:9464
	INI
}

# replica_start NUMBER
replica_start() {
	"$build/cicadabay" core -c "$work/core-$1.ini" \
	    >>"$work/core-$1.log" 2>&1 &
	pids[$1]=$!
}

# fail TEXT: ends the test with the logs.
fail() {
	echo "$(basename "$0" .sh): $1"
	tail -n 20 "$work"/core-*.log
	exit 1
}

# wait_for SECONDS WHAT COMMAND...
wait_for() {
	local n=$(($1 * 10)) what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		n=$((n - 1))
		[ $n -gt 0 ] || fail "no $what"
		sleep 0.1
	done
}

# post NUMBER PATH FILE: sends a request to a replica; fails unless it is
# answered with 200.
post() {
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
	    -H 'Content-Type: application/json' --data-binary "@$3" \
	    "http://$net.$1:8166$2")" = 200 ]
}

# heartbeat_write: writes the heartbeat of a worker at whose address nothing
# answers.
heartbeat_write() {
	cat >"$work/heartbeat.json" <<-JSON
	{"service":"svc","address":"127.0.0.1:9","zone":"z3","version":"v1",
	"slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,
	"memMb":32768,"gpu":0},"labels":["a","r1"],"born":1,"clockMs":5,"seq":1}
	JSON
}

# heartbeat NUMBER: sends the heartbeat to a replica.
heartbeat() {
	post "$1" /-/Instances.Heartbeat/i-1 "$work/heartbeat.json"
}
