#!/usr/bin/env bash
# model.sh check | faults: run spin over spec/, or show that each guard that
# is left out is missed by the specification.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d /tmp/mimosawind-model.XXXXXX)
trap 'rm -rf "$DIR"' EXIT

run() {
    local spec=$1
    shift
    (cd "$DIR" && spin "$@" -a "$OLDPWD/spec/$spec.pml" >/dev/null &&
        gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -w -o pan pan.c &&
        ./pan -E -m3000000 2>&1)
}

number() {
    sed -n "s/^ *\([0-9.e+]*\) $1.*/\1/p" <<<"$2" | head -1
}

status=0
if [ "${1:-check}" = check ]; then
    for spec in log job; do
        out=$(run $spec)
        errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
        depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' <<<"$out")
        echo "$spec: states $(number 'states, stored' "$out"), depth $depth, errors $errors"
        grep -q 'Search not completed\|max search depth too small' <<<"$out" &&
            { echo "$spec: not searched to the end"; status=1; }
        [ "$errors" = 0 ] || status=1
    done
    echo "bounds: log 3 members, 2 terms, 2 entries, 2 lost disks; job 3 epochs, 2 parts"
else
    for fault in log:NO_ADMIT log:NO_COMPARE log:NO_SYNC log:NO_OLD_QUORUM \
        job:NO_INTENT job:RUN_AGAIN job:SAY_NOT_RUN job:NO_FENCE job:IGNORE_OUT; do
        # one more term: the fault that needs it is found long before the end
        out=$(run "${fault%%:*}" "-D${fault#*:}" -DTERMS=4)
        errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
        if [ "${errors:-0}" != 0 ]; then
            echo "$fault: found"
        else
            echo "$fault: missed"
            status=1
        fi
    done
fi
exit $status
