#!/usr/bin/env bash
# Runs every benchmark of a build. Each prints "name value unit" lines.
# usage: scripts/bench.sh BUILD
set -eu
for b in "$1"/bench_*; do
	case $b in *.o | *.d) continue ;; esac
	[ -x "$b" ] && "$b"
done
scripts/bench_process.sh "$1"
