#!/usr/bin/env bash
# model.sh check | faults: check the models in spec/ with spin, or show that
# spin finds an error when a guard is left out of a model.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d /tmp/mimosawind-model.XXXXXX)
trap 'rm -rf "$DIR"' EXIT

run_spin() {
    local spec=$1
    shift
    (cd "$DIR" && spin "$@" -a "$OLDPWD/spec/$spec.pml" >/dev/null &&
        gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -w -o pan pan.c &&
        ./pan -E -m3000000 2>&1)
}

statistic() {
    sed -n "s/^ *\([0-9.e+]*\) $1.*/\1/p" <<<"$2" | head -1
}

status=0
if [ "${1:-check}" = check ]; then
    for spec in log job lease; do
        out=$(run_spin $spec)
        errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
        depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' <<<"$out")
        echo "$spec: states $(statistic 'states, stored' "$out"), depth $depth, errors $errors"
        grep -q 'Search not completed\|max search depth too small' <<<"$out" &&
            { echo "$spec: the search is incomplete"; status=1; }
        [ "$errors" = 0 ] || status=1
    done
    echo "bounds: log 3 members, 2 terms, 2 entries, 2 lost disks; job 3 epochs, 2 parts; lease 3 members, 3 terms"
else
    for fault in log:NO_ADMIT log:NO_COMPARE log:NO_SYNC log:NO_OLD_QUORUM \
        job:NO_INTENT job:RUN_AGAIN job:SAY_NOT_RUN job:NO_FENCE job:IGNORE_OUT \
        lease:NO_ALL_VOTES lease:EARLY_LEASE lease:NO_HOLDOFF; do
        # one fault needs an additional term; the search finds it long before
        # it has covered the larger state space
        out=$(run_spin "${fault%%:*}" "-D${fault#*:}" -DTERMS=4)
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
