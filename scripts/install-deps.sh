#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the checks need.
set -eu
packages="gcc g++ make pkg-config clang-format clang-tidy cppcheck
 libclang-rt-14-dev libtalloc-dev libtevent-dev libprotobuf-c-dev
 libmicrohttpd-dev libcurl4-gnutls-dev libglib2.0-dev libjson-c-dev
 libhttp-parser-dev libyajl-dev
 libgtest-dev librapidcheck-dev spin curl python3"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
