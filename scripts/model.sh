#!/usr/bin/env bash
# Checks the models with spin: "small" takes seconds, "full" minutes. Also fails
# if spin doesn't find a fault that was seeded into a model on purpose.
set -u
cd "$(dirname "$0")/.."
size=${1:-small}
out=build/model
failed=0

# check_model NAME EXPECTED MODEL DEFINES...: EXPECTED is "holds" or "fails".
check_model() {
	local name=$1 expected=$2 model=$3 start_s=$SECONDS result states log
	shift 3
	local dir=$out/$name
	mkdir -p "$dir"
	cp "models/$model.pml" "$dir/"
	log=$dir/log
	if ! (cd "$dir" && spin "$@" -a "$model.pml" && gcc -O2 -w \
	    -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c &&
	    ./pan -m200000) >"$log" 2>&1; then
		echo "FAILED $name: spin or the compiler failed"
		tail -n 5 "$log"
		failed=1
		return
	fi
	states=$(awk '/states, stored/ { print $1 }' "$log")
	if grep -qE 'errors: 0$' "$log" && ! grep -qE \
	    'max search depth too small|Search not completed|out of memory' \
	    "$log"; then
		result=holds
	elif grep -q 'assertion violated' "$log"; then
		result=fails
	else
		result=incomplete
	fi
	if [ "$result" = "$expected" ]; then
		echo "ok $name: $result, $states states," \
		    "$((SECONDS - start_s)) s"
	else
		echo "FAILED $name: $result, expected $expected ($log)"
		failed=1
	fi
}

check_model fault-vote fails raft -DFAULT_VOTE -DLOSABLE=false
check_model fault-oldterm fails raft -DFAULT_OLDTERM -DLOSABLE=false \
    -DMAXTERM=4 -DMAXLOG=1
check_model fault-newcomer fails raft -DFAULT_NEWCOMER -DLOSABLE=true -DMAXLOG=1
check_model fault-nowait fails lease -DFAULT_NOWAIT
case $size in
small)
	check_model raft holds raft -DLOSABLE=false -DMAXTERM=2 -DMAXLOG=2
	check_model raft-terms holds raft -DLOSABLE=false -DMAXTERM=4 \
	    -DMAXLOG=1 -DMAXCRASH=0
	check_model raft-lost-disk holds raft -DLOSABLE=true -DMAXTERM=3 \
	    -DMAXLOG=1
	check_model raft-members holds raft -DLOSABLE=false -DMEMBERS \
	    -DMAXTERM=2 -DMAXLOG=2 -DMAXCRASH=0
	check_model lease holds lease
	;;
full)
	check_model raft holds raft -DLOSABLE=false -DMAXTERM=3 -DMAXLOG=2
	check_model raft-terms holds raft -DLOSABLE=false -DMAXTERM=4 -DMAXLOG=1
	check_model raft-lost-disk holds raft -DLOSABLE=true -DMAXTERM=3 \
	    -DMAXLOG=2
	check_model raft-members holds raft -DLOSABLE=true -DMEMBERS \
	    -DMAXTERM=3 -DMAXLOG=2 -DMAXCRASH=0
	check_model lease holds lease -DLEASE=6 -DELECTIONS=3
	;;
*)
	echo "usage: scripts/model.sh small|full" >&2
	exit 2
	;;
esac
exit $failed
