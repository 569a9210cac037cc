#!/usr/bin/env bash
# Guards against an odd entry among those of the workers (nested deeply, numbers
# too large, ports out of range) that ends the replicas or keeps jobs from their
# workers, before and after a restart of all replicas.
set -u
cd "$(dirname "$0")/.."
. scripts/replicas.sh

number=$((100 + ${CLUSTER_PORT:-10000} / 500 % 100))
replicas_init "${1:-build/rel}" 127.$number 3
# The workers of the soak test have their replicas at these addresses.
net=127.$number.2
seeds=$net.1:8166,$net.2:8166,$net.3:8166
for i in 1 2 3; do
	replica_settings "$i"
	replica_start "$i"
done
cat >"$work/core-gate.ini" <<-INI
[instance]
name = gate-1
ip = 127.$number.3.1
domain = z1
peer_port = 7720
seeds = $seeds
tolerate = 1
clients = 127.$number.3.1:8161
INI
"$build/cicadabay" gate -c "$work/core-gate.ini" >"$work/core-gate.log" 2>&1 &
pids[4]=$!

instances_live() {
	local i
	for i in 1 2 3 4; do
		kill -0 "${pids[$i]}" || return 1
	done
}
sleep 2
python3 soak/odd_entries.py $number "$work/restarted" >"$work/out" 2>&1 &
pids[5]=$!
jobs_completed() {
	grep -q before "$work/out" || ! kill -0 "${pids[5]}"
}
wait_for 60 "completed jobs" jobs_completed
grep -q before "$work/out" || fail "$(cat "$work/out")"
instances_live || fail "an instance has ended"
for i in 1 2 3; do
	kill -9 "${pids[$i]}"
	wait "${pids[$i]}" 2>/dev/null
done
for i in 1 2 3; do
	replica_start "$i"
done
touch "$work/restarted"
wait "${pids[5]}" || fail "$(cat "$work/out")"
cat "$work/out"
instances_live || fail "an instance has ended after the restart"
grep -h event=bad_record "$work"/core-*.log && fail "a record can't be read"
echo "the replicas live on and all jobs are completed"
