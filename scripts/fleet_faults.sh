#!/usr/bin/env bash
# Runs five replicas and many entry instances on loopback with a fleet of
# emulated workers, disturbs the replicas under load and checks that no task
# runs twice, none of a cancelled job runs and none is lost. Prints the
# emulator's report, the faults with their times and the number of some log
# events; fails if a check found something.
# usage: scripts/fleet_faults.sh BUILD FAULT [SEED]
# FAULT is one of
#   none         no fault
#   kill_all     kills all replicas at once and starts them 1 to 5 s later
#   kill_leader  the same with the leader only
#   stop_leader  suspends the leader for 2 to 8 s
#   stop_relays  suspends two other replicas for 2 to 8 s
#   slow         runs all replicas in short turns for 8 s
#   kill_slow    kill_all, then the replicas run in short turns
#   mixed        each of these at random
# Settings in the environment: FLEET_EMULATOR, the emulator to run instead of
# that in BUILD; FLEET_WORKERS, FLEET_GATES, FLEET_SECONDS and FLEET_SCALE, the
# size and length of the run; FLEET_FIRST_FAULT and FLEET_RECOVERY, the seconds
# of load before the first fault and after the last; FLEET_OPTIONS, further
# options of the emulator, such as "cancels=30 leaves=0.2 mute=0.2 settle=18";
# FLEET_CLOUD, IP:PORT where the emulator serves the list of machines;
# FLEET_NET and FLEET_PORT, where it listens; FLEET_UNEXCUSED, not empty if the
# emulator isn't told of the faults; FLEET_KEEP, a folder that receives settings, data and logs.
set -eu
build=$1
fault=$2
seed=${3:-1}
workers=${FLEET_WORKERS:-1800}
ngates=${FLEET_GATES:-147}
seconds=${FLEET_SECONDS:-60}
net=${FLEET_NET:-127.90}
port=${FLEET_PORT:-19000}
emulator=${FLEET_EMULATOR:-$build/fleet}
replicas=5
first_fault_s=${FLEET_FIRST_FAULT:-15}
recovery_s=${FLEET_RECOVERY:-15}
warmup_s=8 # before the load, in the emulator
dir=${FLEET_KEEP:-$(mktemp -d)}
mkdir -p "$dir"
pids=()
RANDOM=$seed
cleanup() {
	local p
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null || true
		kill "$p" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$dir"
}
trap cleanup EXIT

seeds=$net.2.1:8166,$net.2.2:8166,$net.2.3:8166
# write_settings NAME DOMAIN IP LINES...
write_settings() {
	local name=$1 domain=$2 ip=$3
	shift 3
	{
		echo "[instance]"
		echo "name = $name"
		echo "ip = $ip"
		echo "domain = $domain"
		echo "peer_port = 7720"
		echo "seeds = $seeds"
		echo "tolerate = 2"
		printf '%s\n' "$@"
	} >"$dir/$name.ini"
}

# start_instance SLOT KIND NAME: pids holds its process id in SLOT.
start_instance() {
	"$build/cicadabay" "$2" -c "$dir/$3.ini" >>"$dir/$3.log" 2>&1 &
	pids[$1]=$!
}

# note SIGNAL TEXT: records what is done to the replicas and tells the emulator:
# USR1 if it disturbs them, USR2 if that is over.
note() {
	[ -n "${FLEET_UNEXCUSED:-}" ] || kill "-$1" "$fleet_pid"
	shift
	echo "$(date -u +%Y-%m-%dT%H:%M:%S.%3NZ) $*" | tee -a "$dir/faults.log"
}

# random_ms MIN MAX: sets ms.
random_ms() {
	ms=$(($1 + RANDOM % ($2 - $1 + 1)))
}

sleep_ms() {
	sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"
}

# find_leader: sets leader to the number of the replica that led last.
find_leader() {
	leader=$(grep -H 'event=lead ' "$dir"/core-*.log | sed 's/.*core-\([0-9]\)\.log:/\1 /' |
	    sort -k 2 | tail -n 1 | cut -d ' ' -f 1)
	leader=${leader:-1}
}

# kill_replicas NUMBER...: kills them and starts them again later.
kill_replicas() {
	local i
	random_ms 1000 5000
	note USR1 "kill replicas $* down_ms=$ms"
	for i in "$@"; do
		kill -KILL "${pids[i - 1]}"
	done
	for i in "$@"; do
		wait "${pids[i - 1]}" 2>/dev/null || true
	done
	sleep_ms "$ms"
	for i in "$@"; do
		start_instance $((i - 1)) core "core-$i"
	done
	note USR2 "started replicas $*"
}

# stop_replicas NUMBER...: suspends them for some time.
stop_replicas() {
	local i
	random_ms 2000 8000
	note USR1 "stop replicas $* ms=$ms"
	for i in "$@"; do
		kill -STOP "${pids[i - 1]}"
	done
	sleep_ms "$ms"
	for i in "$@"; do
		kill -CONT "${pids[i - 1]}"
	done
	note USR2 "continued replicas $*"
}

# slow_replicas: lets all replicas run in turns of 10 ms of each 20 to 60 ms.
slow_replicas() {
	local i turns
	random_ms 10 50
	turns=$((8000 / (ms + 10)))
	note USR1 "slow replicas run_ms=10 stop_ms=$ms"
	for ((i = 0; i < turns; i++)); do
		kill -STOP "${pids[@]:0:replicas}"
		sleep_ms "$ms"
		kill -CONT "${pids[@]:0:replicas}"
		sleep_ms 10
	done
	note USR2 "replicas at full speed"
}

# strike FAULT
strike() {
	local all=(kill_all kill_leader stop_leader stop_relays slow kill_slow)
	find_leader
	case $1 in
	none) sleep 5 ;;
	kill_all) kill_replicas 1 2 3 4 5 ;;
	kill_leader) kill_replicas "$leader" ;;
	stop_leader) stop_replicas "$leader" ;;
	stop_relays)
		stop_replicas $((leader % 5 + 1)) $(((leader + 1) % 5 + 1))
		;;
	slow) slow_replicas ;;
	kill_slow)
		kill_replicas 1 2 3 4 5
		slow_replicas
		;;
	mixed) strike "${all[RANDOM % ${#all[@]}]}" ;;
	*)
		echo "unknown fault $1" >&2
		exit 2
		;;
	esac
}

cores=
gates=
for ((i = 1; i <= replicas; i++)); do
	write_settings core-$i z$((i - 1)) $net.2.$i "found = true" \
	    "counted = true" "data = $dir/core-$i" \
	    "control = $net.2.$i:8166" "metrics = $net.2.$i:9464" \
	    ${FLEET_CLOUD:+"cloud = $FLEET_CLOUD" "lease_holder_wait = 3s"}
	start_instance $((i - 1)) core core-$i
	cores=$cores,$net.2.$i:8166
done
for ((i = 1; i <= ngates; i++)); do
	write_settings gate-$i z$((i % replicas)) $net.3.$i \
	    "clients = $net.3.$i:8161"
	start_instance $((replicas + i - 1)) gate gate-$i
	gates=$gates,$net.3.$i:8161
done
sleep 2
# shellcheck disable=SC2086
"$emulator" cores="${cores#,}" gates="${gates#,}" workers="$workers" \
    domains=$replicas port="$port" seconds="$seconds" seed="$seed" \
    scale="${FLEET_SCALE:-1}" ${FLEET_CLOUD:+cloud="$FLEET_CLOUD"} \
    ${FLEET_OPTIONS:-} >"$dir/fleet.out" &
fleet_pid=$!
pids+=($fleet_pid)
end_s=$((SECONDS + warmup_s + seconds))
sleep $((warmup_s + first_fault_s))
while [ $((SECONDS + recovery_s)) -lt $end_s ]; do
	strike "$fault"
	random_ms 4000 9000
	sleep_ms "$ms"
done
rc=0
wait $fleet_pid || rc=$?
cat "$dir/fleet.out"
for i in "${!pids[@]}"; do
	[ "${pids[i]}" = $fleet_pid ] || kill -0 "${pids[i]}" 2>/dev/null ||
	    echo "instance $i has ended"
done
grep -hE 'event=(lead|worker_lost|worker_silent|relay_lost|late_end|end_ignored|stale_command|lines_dropped|disk_failed|outlived|stop_orphan|idle|unanswered|late_tick|late_order|worker_leaves) ' \
    "$dir"/core-*.log | grep -oE 'event=[a-z_]+' | sort | uniq -c
exit $rc
