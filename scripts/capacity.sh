#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses and prints its table.
# Small stand-ins only: the benches run in single
# processes below 1 GiB, the daemons' part with three instances.
set -eu
cd "$(dirname "$0")/.."
out=build/capacity.txt
{
	"$1/bench_cell"
	"$1/bench_raft"
	"$1/bench_request_cost"
	"$1/bench_placement" cost
	scripts/process_cost.sh "$1"
} >$out
awk -f scripts/capacity.awk $out
