# Functions for process tests, benchmarks and the demo: start a cluster of
# instances and fake workers on free loopback ports. To be sourced. When the
# script ends, every process that it started is killed by its own id.

cluster_pids=()
work=$(mktemp -d)
node_settings=() # further lines of the group [node]
build= # build folder

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

log_progress() {
	echo "[$SECONDS s] $*"
}

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails
# after SECONDS.
wait_for() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "timed out: no $what"
		sleep 0.1
	done
}

# Sets port to one that nobody listens on, below the ephemeral port range.
# CLUSTER_PORT gives each of the tests that run at once a range of its own.
next_port=${CLUSTER_PORT:-$((10000 + RANDOM % 18000))}
free_port() {
	while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
		next_port=$((next_port + 1))
	done
	port=$next_port
	next_port=$((next_port + 1))
}

# cluster_init BUILD N [SETTING...]: writes the settings of N instances in N
# failure domains. Each SETTING is a line of the group [control].
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

# Kills an instance, disowned first so that the shell doesn't report its end, and
# waits until it has released its ports.
instance_kill() {
	killed[$1]=1
	disown "${instance_pid[$1]}"
	kill -KILL "${instance_pid[$1]}"
	while kill -0 "${instance_pid[$1]}" 2>/dev/null; do
		sleep 0.01
	done
}

# Fails if an instance has ended that was not killed.
check_instances_alive() {
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

# Prints the number of the leader, as reported by any instance that answers.
leader() {
	"$build/cicadabay" status | awk '$1 == "leader" { print $2 }'
}

voters() {
	"$build/cicadabay" members | awk '$3 == "true"' | wc -l
}

voter_count_is() {
	[ "$(voters)" -eq "$1" ]
}

# cluster_start N: starts all N instances; waits until they are ready and vote.
cluster_start() {
	local i
	for ((i = 1; i <= $1; i++)); do
		instance_start "$i"
	done
	for ((i = 1; i <= $1; i++)); do
		wait_for 20 "readiness of instance $i" instance_ready "$i"
	done
	wait_for 20 "replicas" voter_count_is "$1"
}

# worker_start NAME [OPTION...]: starts one fake worker; sets worker_pid.
worker_start() {
	local name=$1
	shift
	"$build/fake_worker" --instances "$instances" --name "$name" \
	    --ledger "$work/worker.ledger" "$@" >>"$work/$name.log" 2>&1 &
	worker_pid=$!
	cluster_pids+=($!)
	disown $!
}

worker_count_is() {
	[ "$("$build/cicadabay" workers | grep -c 127.0.0.1)" -eq "$1" ]
}

# Writes the file with an urgent class "tally" and a batch class "report".
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

# is_served INSTANCE: the instance gets a request of the class "tally" answered
# by a worker; refusals are no service, also those that name a worker.
is_served() {
	curl -s -f -m 2 "http://${http[$1]}/svc/tally/probe" | grep -q worker
}

# requests_started N: workers have started at least N requests.
requests_started() {
	[ "$(grep -c ' R ' "$work/worker.ledger")" -ge "$1" ]
}

# compare_ledgers LOAD_LEDGER: compares what the clients were told with what the
# workers ran; sets duplicates (non-idempotent requests run more than once),
# false_not_run (reported as not run, but run), answered_without_run and
# wrong_answers.
compare_ledgers() {
	local out
	out=$(awk '
	FNR == NR { if ($2 == "R") { split($6, p, "/"); runs[p[4]]++ } next }
	$4 == "not-run" && runs[$1] > 0 { f++ }
	$3 == "POST" && runs[$1] > 1 { d++ }
	$4 == "answered" && runs[$1] == 0 { u++ }
	$4 == "wrong" { w++ }
	END { print d + 0, f + 0, u + 0, w + 0 }' \
	    "$work/worker.ledger" "$1")
	read -r duplicates false_not_run answered_without_run wrong_answers \
	    <<<"$out"
}

print_comparison() {
	echo "duplicates $duplicates, wrong answers $wrong_answers," \
	    "false not-run $false_not_run," \
	    "answered without a run $answered_without_run"
}

# count_task_faults [WORKER MS]: sets finished_twice (completions beyond the
# first) and overlaps (a task runs in two places at once). WORKER was killed at
# MS, which ended its tasks.
count_task_faults() {
	local out
	out=$(sort -s -n -k1,1 "$work/worker.ledger" | awk -v killed="${1:-}" \
	    -v killed_ms="${2:-0}" '
	$2 == "S" {
		if ($4 in on && !(on[$4] == killed && $1 > killed_ms))
			o++
		on[$4] = $3
	}
	$2 == "E" {
		if ($4 in on && on[$4] == $3)
			delete on[$4]
		if ($7 == "done" && $3 != killed && done[$4]++ > 0)
			t++
	}
	END { print t + 0, o + 0 }')
	read -r finished_twice overlaps <<<"$out"
}
