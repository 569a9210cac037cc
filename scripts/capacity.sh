#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses and prints its table.
# Small stand-ins only: everything runs in single processes below 1 GiB.
set -eu
cd "$(dirname "$0")/.."
out=build/capacity.txt
{
	"$1/bench_cell"
	"$1/bench_raft"
	"$1/bench_request_cost"
	"$1/bench_placement"
} >$out
awk -f scripts/capacity.awk $out
