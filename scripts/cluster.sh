# Functions for process tests and the demo: a cluster of instances and fake
# workers on free loopback ports. Sourced; every process that is started is
# ended by its own id when the script ends.

cluster_pids=()
work=$(mktemp -d)
node_settings=() # further lines of the group [node]
build=

cluster_cleanup() {
	local rc=$? pid
	trap - EXIT
	for pid in "${cluster_pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if [ "$rc" -ne 0 ] && [ -d "$work" ]; then
		tail -n 15 "$work"/*.log 2>/dev/null
	fi
	rm -rf "$work"
	exit "$rc"
}
trap cluster_cleanup EXIT
trap 'exit 130' INT TERM

say() {
	echo "[$SECONDS s] $*"
}

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# wait_for SECONDS WHAT COMMAND...: polls until the command succeeds.
wait_for() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "no $what in time"
		sleep 0.1
	done
}

# A port that nobody listens on; below the range for outgoing connections.
# Tests that run at once get ranges of their own.
next_port=${CLUSTER_PORT:-$((10000 + RANDOM % 18000))}
free_port() {
	while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
		next_port=$((next_port + 1))
	done
	port=$next_port
	next_port=$((next_port + 1))
}

# cluster_init BUILD N [SETTING...]: settings of N instances in N domains;
# the settings are lines of the group [control].
cluster_init() {
	local n=$2 i j
	build=$1
	shift 2
	http=()
	peer=()
	instance_pid=()
	killed=()
	for ((i = 1; i <= n; i++)); do
		free_port
		http[i]=127.0.0.1:$port
		free_port
		peer[i]=127.0.0.1:$port
	done
	for ((i = 1; i <= n; i++)); do
		{
			printf '[node]\ncluster = test\ninstance = %d\n' "$i"
			printf 'failure_domain = d%d\n' "$i"
			printf 'http = %s\npeer = %s\n' "${http[i]}" "${peer[i]}"
			printf 'data = %s/data%d\n' "$work" "$i"
			printf '%s\n' "${node_settings[@]}"
			printf '[control]\n'
			for j in "$@"; do
				printf '%s\n' "$j"
			done
			for ((j = 1; j <= n; j++)); do
				printf '[peer %d]\naddress = %s\n' "$j" \
				    "${peer[j]}"
			done
		} >"$work/i$i.ini"
	done
	instances=$(IFS=,; echo "${http[*]}")
	export CICADABAY_INSTANCES=$instances
	"$build/cicadabay" init -c "$work/i1.ini" || fail "init"
}

instance_start() {
	"$build/cicadabay" serve -c "$work/i$1.ini" >>"$work/i$1.log" 2>&1 &
	instance_pid[$1]=$!
	killed[$1]=
	cluster_pids+=($!)
}

# The shell doesn't report the death of a process that it has disowned.
instance_kill() {
	killed[$1]=1
	disown "${instance_pid[$1]}"
	kill -KILL "${instance_pid[$1]}"
}

# No instance may have ended but those that were killed.
instances_alive() {
	local i
	for i in "${!instance_pid[@]}"; do
		[ "${killed[i]:-}" = 1 ] || kill -0 "${instance_pid[i]}" ||
		    fail "instance $i has ended"
	done
}

instance_ready() {
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
	    "http://${http[$1]}/readyz")" = 200 ]
}

# Number of the leader as any instance that answers names it.
leader() {
	"$build/cicadabay" status | awk '$1 == "leader" { print $2 }'
}

voters() {
	"$build/cicadabay" members | awk '$3 == "true"' | wc -l
}

voters_are() {
	[ "$(voters)" -eq "$1" ]
}

# Starts all N instances and waits until they are ready and replicas.
cluster_start() {
	local i
	for ((i = 1; i <= $1; i++)); do
		instance_start "$i"
	done
	for ((i = 1; i <= $1; i++)); do
		wait_for 20 "readiness of instance $i" instance_ready "$i"
	done
	wait_for 20 "replicas" voters_are "$1"
}

# worker_start NAME [OPTION...]: one fake worker; sets worker_pid.
worker_start() {
	local name=$1
	shift
	"$build/fake_worker" --instances "$instances" --name "$name" \
	    --ledger "$work/worker.ledger" "$@" >>"$work/$name.log" 2>&1 &
	worker_pid=$!
	cluster_pids+=($!)
	disown $!
}

workers_are() {
	[ "$("$build/cicadabay" workers | grep -c 127.0.0.1)" -eq "$1" ]
}

classes_write() {
	cat >"$work/classes.ini" <<-EOF
	[class tally]
	kind = urgent
	answer_percentile = 99
	answer_within = 200ms
	give_up_after = 5s
	[class report]
	kind = batch
	finish_per_hour = 10000
	EOF
}

served() {
	curl -s -m 2 "http://${http[$1]}/svc/tally/probe" | grep -q worker
}

# At least so many requests were started on workers.
requests_run() {
	[ "$(grep -c ' R ' "$work/worker.ledger")" -ge "$1" ]
}

# compare LOAD_LEDGER: sets dups, false_not_run, unrun, wrong.
compare() {
	local out
	out=$(awk '
	FNR == NR { if ($2 == "R") { split($6, p, "/"); runs[p[4]]++ } next }
	$4 == "not-run" && runs[$1] > 0 { f++ }
	$3 == "POST" && runs[$1] > 1 { d++ }
	$4 == "answered" && runs[$1] == 0 { u++ }
	$4 == "wrong" { w++ }
	END { print d + 0, f + 0, u + 0, w + 0 }' \
	    "$work/worker.ledger" "$1")
	read -r dups false_not_run unrun wrong <<<"$out"
}

# task_faults [WORKER MS]: sets twice (completions beyond the first) and
# overlaps (a task at work in two places). A task of the worker that was
# killed at MS ends then.
task_faults() {
	local out
	out=$(sort -s -n -k1,1 "$work/worker.ledger" | awk -v dead="${1:-}" \
	    -v at="${2:-0}" '
	$2 == "S" {
		if ($4 in on && !(on[$4] == dead && $1 > at))
			o++
		on[$4] = $3
	}
	$2 == "E" {
		if ($4 in on && on[$4] == $3)
			delete on[$4]
		if ($7 == "done" && $3 != dead && done[$4]++ > 0)
			t++
	}
	END { print t + 0, o + 0 }')
	read -r twice overlaps <<<"$out"
}
