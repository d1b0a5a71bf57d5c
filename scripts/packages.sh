#!/usr/bin/env bash
# packages.sh: install the Debian packages that are missing.
set -eu
packages="libglib2.0-dev libsoup-3.0-dev libuv1-dev libhttp-parser-dev
    libprotobuf-c-dev libargtable2-dev
    libjansson-dev zlib1g-dev libxxhash-dev libyaml-dev check pkg-config gcc make curl
    clang clang-format clang-tidy cppcheck spin"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq >/dev/null
apt-get install -y -qq $missing >/dev/null
