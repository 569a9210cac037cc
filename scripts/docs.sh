#!/usr/bin/env bash
# Writes the tables that the binary prints into the pages that contain them.
# With --check it writes nothing and fails if a page differs.
set -eu
cd "$(dirname "$0")/.."
binary=build/rel/cicadabay

# update_block FILE NAME COMMAND...: replaces the text between <!-- NAME --> and
# <!-- /NAME --> by the output of the command.
update_block() {
	local file=$1 name=$2
	shift 2
	"$binary" "$@" >build/docs.block
	awk -v open="<!-- $name -->" -v close_="<!-- /$name -->" \
	    -v block=build/docs.block '
		$0 == close_ { skip = 0 }
		!skip { print }
		$0 == open { skip = 1
			print ""
			while ((getline line < block) > 0) print line
			print "" }' "$file" >build/docs.new
	if ! cmp -s "$file" build/docs.new; then
		[ "$mode" = write ] || {
			echo "$file: the table of $name is outdated;" \
			    "run scripts/docs.sh"
			exit 1
		}
		cp build/docs.new "$file"
	fi
}

mode=write
[ "${1-}" = --check ] && mode=check
update_block docs/OPERATIONS.md settings settings
update_block docs/OPERATIONS.md counters explain
