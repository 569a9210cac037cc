#!/usr/bin/env bash
# Checks the models with spin: "small" in seconds, "full" in minutes. Each
# seeded fault of a specification must be reported, otherwise the run fails.
set -u
cd "$(dirname "$0")/.."
size=${1:-small}
out=build/model
bad=0

# run NAME WANT MODEL DEFINES...: WANT is "holds" or "fails".
run() {
	local name=$1 want=$2 model=$3 t0=$SECONDS got states log
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
		bad=1
		return
	fi
	states=$(awk '/states, stored/ { print $1 }' "$log")
	if grep -qE 'errors: 0$' "$log" && ! grep -qE \
	    'max search depth too small|Search not completed|out of memory' \
	    "$log"; then
		got=holds
	elif grep -q 'assertion violated' "$log"; then
		got=fails
	else
		got=incomplete
	fi
	if [ "$got" = "$want" ]; then
		echo "ok $name: $got, $states states, $((SECONDS - t0)) s"
	else
		echo "FAILED $name: $got, expected $want ($log)"
		bad=1
	fi
}

run fault-vote fails raft -DFAULT_VOTE -DLOSABLE=false
run fault-oldterm fails raft -DFAULT_OLDTERM -DLOSABLE=false -DMAXTERM=4 \
    -DMAXLOG=1
run fault-newcomer fails raft -DFAULT_NEWCOMER -DLOSABLE=true -DMAXLOG=1
run fault-nowait fails lease -DFAULT_NOWAIT
case $size in
small)
	run raft holds raft -DLOSABLE=false -DMAXTERM=2 -DMAXLOG=2
	run raft-terms holds raft -DLOSABLE=false -DMAXTERM=4 -DMAXLOG=1 \
	    -DMAXCRASH=0
	run raft-lost-disk holds raft -DLOSABLE=true -DMAXTERM=3 -DMAXLOG=1
	run raft-members holds raft -DLOSABLE=false -DMEMBERS -DMAXTERM=2 \
	    -DMAXLOG=2 -DMAXCRASH=0
	run lease holds lease
	;;
full)
	run raft holds raft -DLOSABLE=false -DMAXTERM=3 -DMAXLOG=2
	run raft-terms holds raft -DLOSABLE=false -DMAXTERM=4 -DMAXLOG=1
	run raft-lost-disk holds raft -DLOSABLE=true -DMAXTERM=3 -DMAXLOG=2
	run raft-members holds raft -DLOSABLE=true -DMEMBERS -DMAXTERM=3 \
	    -DMAXLOG=2 -DMAXCRASH=0
	run lease holds lease -DLEASE=6 -DELECTIONS=3
	;;
*)
	echo "usage: scripts/model.sh small|full" >&2
	exit 2
	;;
esac
exit $bad
