#!/usr/bin/env bash
# Scores, one after the other, the deployments that must pass with every change.
# usage: scripts/regress.sh FLEETBENCH SYSTEM_FOLDER [WHY]
set -eu
cd "$(dirname "$0")/.."
bench=$1
system=$2
why=${3:-regression run}
# The large and the badge deployments replace the two standard ones.
sites="large/kuivlogi-large further-grown/rtz-badges-grown further/rtz-badges
 grown/kuivlogi-grown grown/gullak-ktm-grown"
failed=0
for site in $sites; do
	out=$("$bench" score "$system/$site.toml" --jobs 3 --why "$why" 2>&1) ||
	    failed=1
	echo "$out" | grep -E '^(score|GATE|[a-z]+-[0-9a-f]+ )' || true
	echo "$out" | grep -q '^GATE passed' || failed=1
done
exit $failed
