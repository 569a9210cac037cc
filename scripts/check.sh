#!/usr/bin/env bash
# Runs every check and closes with "N passed, N failed". A failure listed in
# KNOWN-RED.txt is printed and not counted; anything else fails the run.
set -u
cd "$(dirname "$0")/.."
jobs=${CHECK_JOBS:-8}
passed=0
failed=0
log=build/check
mkdir -p $log

known_red() {
	[ -f KNOWN-RED.txt ] && grep -qE "^test: $1\$" KNOWN-RED.txt
}

ok() {
	passed=$((passed + 1))
	echo "ok $1"
}

not_ok() {
	if known_red "$1"; then
		echo "known red: $1 (KNOWN-RED.txt)"
		return
	fi
	failed=$((failed + 1))
	echo "FAILED $1"
}

# step NAME COMMAND...: one check that is either green or red.
step() {
	local name=$1 t0=$SECONDS
	shift
	if "$@" >"$log/$name.log" 2>&1; then
		ok "$name ($((SECONDS - t0)) s)"
	else
		tail -n 40 "$log/$name.log"
		not_ok "$name"
	fi
}

# unit BUILD: every GoogleTest case counts as one check.
unit() {
	local out="$log/unit-${1//\//-}.log" line name
	"$1/unit_tests" >"$out" 2>&1
	local rc=$?
	local n
	n=$(grep -cE '^\[       OK \]' "$out")
	passed=$((passed + n))
	while read -r name; do
		[ -n "$name" ] && not_ok "$name"
	done < <(grep -E '^\[  FAILED  \] [A-Za-z0-9_/]+\.[A-Za-z0-9_/]+ \(' \
	    "$out" | awk '{print $4}')
	grep -E '^(schedules|rounds|seed|figure) ' "$out" | sed 's/^/  /'
	if [ $rc -ne 0 ]; then
		grep -vE '^\[ +(OK|RUN) +' "$out" | tail -n 60
		grep -qE '^\[  FAILED  \]' "$out" || not_ok "unit-run-$1"
	fi
	echo "ok unit $1: $n cases"
}

step format make -s format-check
step build make -s -j"$jobs" all build/rel/unit_tests benches
step build-sanitizer make -s -j"$jobs" asan
step clang-tidy make -s -j"$jobs" tidy
step cppcheck make -s cppcheck
unit build/rel
unit build/asan
step docs scripts/docs.sh --check
[ -x scripts/model.sh ] && step model scripts/model.sh small
for t in tests/*.sh; do
	[ -e "$t" ] || continue
	step "process-$(basename "$t" .sh)" bash "$t" build/rel
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
