#!/usr/bin/env bash
# Measures the costs per item that docs/CAPACITY.md extrapolates from and prints
# its table. Small setups only: each benchmark is a single process below 1 GiB,
# and the cost of whole processes is measured with three instances.
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
