#!/usr/bin/env bash
# Prints a table of the standard days of a site from its newest score in the
# journal: the day, its worth and the upper mark from the site file ("one").
# usage: scripts/worth.sh SITE
set -eu
cd "$(dirname "$0")/.."
entry=$(grep -lE '^"cmd":"score"' journal/*.json |
    xargs grep -lE "^\"site\":\"$1\"" | sort | tail -n 1)
echo "| day of $1 | worth | one |"
echo "| --- | --- | --- |"
grep -oE '"G":-?[0-9.]+,"name":"[a-z0-9-]+"|"top":[0-9.]+' "$entry" |
    sed -E 's/"G":([^,]*),"name":"(.*)"/| \2 | \1 |/; s/"top":(.*)/ \1 |/' |
    paste -sd '\0\n' - | grep -v fresh
