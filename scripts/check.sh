#!/usr/bin/env bash
# Runs every check and prints "N passed, N failed" at the end. A failure that is
# listed in KNOWN-RED.txt is printed but not counted; any other fails the run.
set -u
cd "$(dirname "$0")/.."
jobs=${CHECK_JOBS:-8}
passed=0
failed=0
log=build/check
mkdir -p $log

is_known_failure() {
	[ -f KNOWN-RED.txt ] && grep -qE "^test: $1\$" KNOWN-RED.txt
}

record_pass() {
	passed=$((passed + 1))
	echo "ok $1"
}

record_failure() {
	if is_known_failure "$1"; then
		echo "known red: $1 (KNOWN-RED.txt)"
		return
	fi
	failed=$((failed + 1))
	echo "FAILED $1"
}

# run_step NAME COMMAND...: one check, passed if the command succeeds.
run_step() {
	local name=$1 start_s=$SECONDS
	shift
	if "$@" >"$log/$name.log" 2>&1; then
		record_pass "$name ($((SECONDS - start_s)) s)"
	else
		tail -n 40 "$log/$name.log"
		record_failure "$name"
	fi
}

shards=6

# run_unit_shards BUILD: runs all unit tests, split over concurrent processes.
run_unit_shards() {
	local out=$1/unit.log i pids=() rc=0
	: >"$out"
	for ((i = 0; i < shards; i++)); do
		GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$i \
		    "$1/unit_tests" >"$out.$i" 2>&1 &
		pids+=($!)
	done
	for i in "${pids[@]}"; do
		wait "$i" || rc=1
	done
	for ((i = 0; i < shards; i++)); do
		cat "$out.$i" >>"$out"
	done
	return $rc
}

# run_unit_tests BUILD: runs all unit tests; each case counts as one check.
run_unit_tests() {
	local out=$1/unit.log name rc=0 passed_cases failed_cases=0
	run_unit_shards "$1" || rc=1
	passed_cases=$(grep -cE '^\[       OK \]' "$out")
	passed=$((passed + passed_cases))
	while read -r name; do
		failed_cases=$((failed_cases + 1))
		record_failure "$name"
	done < <(grep -E '^\[  FAILED  \] [A-Za-z0-9_/]+\.[A-Za-z0-9_/]+(, .*)? \([0-9]+ ms' \
	    "$out" | awk '{sub(/,$/, "", $4); print $4}')
	grep -E '^(schedules|rounds|seed|figure) ' "$out" | sed 's/^/  /'
	if [ $rc -ne 0 ]; then
		grep -vE '^\[ +(OK|RUN) +' "$out" | tail -n 60
		[ $failed_cases -gt 0 ] || record_failure "unit-run-$1"
	fi
	echo "ok unit $1: $passed_cases cases"
}

# run_process_tests BUILD PREFIX: runs three process tests at a time, each with
# a range of ports of its own.
run_process_tests() {
	local t name running=0 port=10000
	for t in tests/*.sh; do
		name=process-$2$(basename "$t" .sh)
		(
			CLUSTER_PORT=$port bash "$t" "$1" >"$log/$name.log" 2>&1
			echo $? >"$log/$name.rc"
		) &
		port=$((port + 500))
		running=$((running + 1))
		if [ $running -eq 3 ]; then
			wait
			running=0
		fi
	done
	wait
	for t in tests/*.sh; do
		name=process-$2$(basename "$t" .sh)
		if [ "$(cat "$log/$name.rc")" = 0 ]; then
			record_pass "$name"
		else
			tail -n 40 "$log/$name.log"
			record_failure "$name"
		fi
	done
}

# run_crowd_tests BUILD: crowds of misbehaving clients, one at a time. Each name
# of form and target is a check.
run_crowd_tests() {
	local name line
	python3 soak/crowd_test.py "$1/cicadabay" --keep "$log/crowd" \
	    >"$log/crowd.log" 2>&1
	for name in $(python3 soak/crowd_test.py --list); do
		line=$(grep -E "^(ok|FAILED) $name " "$log/crowd.log") ||
		    line="FAILED $name was not run"
		if [[ $line == ok* ]]; then
			record_pass "$name"
		else
			echo "$line"
			record_failure "$name"
		fi
	done
	grep -vE '^(ok|FAILED) crowd-' "$log/crowd.log"
}

run_step format make -s format-check
run_step build make -s -j"$jobs" all build/rel/unit_tests benches
run_step build-sanitizer make -s -j"$jobs" asan
run_step clang-tidy make -s -j"$jobs" tidy
run_step cppcheck make -s cppcheck
run_unit_tests build/rel
run_unit_tests build/asan
run_step docs scripts/docs.sh --check
[ -x scripts/model.sh ] && run_step model scripts/model.sh small
run_process_tests build/rel ""
run_crowd_tests build/rel
run_step soak python3 soak/soak.py build/rel/cicadabay 100 101 300 3106 \
    --seconds 6 --net 77 --keep "$log"
run_step soak-leaves python3 soak/soak.py build/rel/cicadabay 3 4 --seconds 6 \
    --net 77 --leaves --keep "$log"
run_step soak-evacuations python3 soak/soak.py build/rel/cicadabay 5 6 \
    --seconds 12 --net 77 --evacuations --keep "$log"
run_step soak-fuzz python3 soak/fuzz.py build/rel/unit_tests --seconds 10
run_step soak-sanitizer python3 soak/soak.py build/asan/cicadabay 200 201 \
    --seconds 6 --net 78 --keep "$log"
run_process_tests build/asan sanitizer-

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
