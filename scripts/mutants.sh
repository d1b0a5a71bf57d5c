#!/usr/bin/env bash
# mutants.sh: mutation tests.  Each mutant removes one mechanism from a scratch
# copy of the source; at least one of its test scripts must fail.
#
# A mutant is tests/mutants/NAME.patch; its second line names the scripts.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d /tmp/mimosawind-mutants.XXXXXX)
trap 'rm -rf "$DIR"' EXIT
status=0
cp -r Makefile source include platform tests KNOWN-RED.txt "$DIR"
mkdir -p "$DIR/build"
cp -r "${BUILD:-build}/source" "${BUILD:-build}/tests" "$DIR/build/" 2>/dev/null
find "$DIR/build" -name '*.d' -delete
for patch in tests/mutants/*.patch; do
    name=$(basename "$patch" .patch)
    scripts=$(sed -n 's/^scripts: //p' "$patch")
    (cd "$DIR" && patch -s -p1 <"$OLDPWD/$patch") || { echo "$name: does not apply"; status=1; continue; }
    for file in $(sed -n 's/^+++ b\///p' "$patch"); do
        rm -f "$DIR/build/${file%.c}.o"
    done
    if ! make -s -C "$DIR" build/check CFLAGS='-std=gnu11 -O1 -w' >"$DIR/log" 2>&1; then
        echo "$name: does not build"
        tail -3 "$DIR/log"
        status=1
    else
        caught_by=
        for script in $scripts; do
            if ! "${BUILD:-build}/check" "$script" >/dev/null 2>&1; then
                echo "$name: $script selects no script, or fails without the mutant"
                status=1
            elif ! (cd "$DIR" && CK_FORK=no timeout 60 build/check "$script" >/dev/null 2>&1); then
                caught_by="$caught_by $script"
            fi
        done
        if [ -n "$caught_by" ]; then
            echo "$name: caught by$caught_by"
        else
            echo "$name: missed"
            status=1
        fi
    fi
    for file in $(sed -n 's/^+++ b\///p' "$patch"); do
        cp "$file" "$DIR/$file"
        rm -f "$DIR/build/${file%.c}.o"
    done
done
exit $status
