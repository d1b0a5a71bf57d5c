#!/usr/bin/env bash
# A core machine that lost its disk is killed while it joins the log again.
# TROUBLE=0: the same without the kill.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-3/scene.sh"
TROUBLE=${TROUBLE:-1}
JOBS="00000000000000a1 00000000000000a2 00000000000000a3"
EXITS=0

# lose_disk N: the machine ends, and its disk is gone
lose_disk() {
    kill_machine "core-$1"
    rm -rf "$WORK/core-$1-disk"
    sleep 1
}

# Starts core-3 again whenever its process has ended, as the platform does.
supervise() {
    local until_s=$((SECONDS + $1)) code
    while [ $SECONDS -lt $until_s ]; do
        if ! is_up core-3; then
            wait "${PIDS[core-3]}"
            code=$?
            EXITS=$((EXITS + 1))
            [ $EXITS -le 3 ] && note "core-3 ended by itself, exit $code: $(
                grep -o '"outcome":"failed".*' "$WORK/core-3.log" | tail -n 1)"
            sleep 0.5
            start core 3 false
        fi
        sleep 0.2
    done
}

# ask_all: counts the jobs whose state is read within one try at each edge
ask_all() {
    local job try answer known=0
    for job in $JOBS; do
        for try in 1 2 3; do
            NEXT_EDGE=$try
            answer=$(call GET "$job")
            if [ "${answer%% *}" = 200 ]; then
                known=$((known + 1))
                break
            fi
        done
    done
    LAST=$answer
    KNOWN=$known
}

begin_scene
start_all
put_config || unable "the first configuration is not acknowledged"
for job in $JOBS; do
    hand_in $job || unable "job $job is not accepted"
    note "job $job: accepted"
done
sleep 3
for attempt in 1 2 3 4 5 6; do
    note "core-3 loses its disk and starts again, bootstrap: false"
    lose_disk 3
    start core 3 false
    [ "$TROUBLE" = 0 ] && break
    "$STAND" end-at "${PIDS[core-3]}" "$WORK/core-3-disk/region.log" 10000 ||
        unable "core-3 did not join within 10 s"
    wait "${PIDS[core-3]}" 2>/dev/null
    note "core-3: SIGKILL as it joins; its files: $(cd "$WORK/core-3-disk" &&
        stat -c '%n %s' * | tr '\n' ',')"
    sleep 0.5
    start core 3 false
    sleep 1.5
    is_up core-3 || break
    note "core-3 goes on; once more"
    sleep 4
done
supervise 8
ask_all
note "8 s later: $KNOWN of 3 jobs known, last answer $LAST; core-3 has ended by itself $EXITS times"
[ "$KNOWN" = 3 ] || unable "the jobs were not known before the second loss"
note "core-2 loses its disk and starts again, bootstrap: false"
lose_disk 2
start core 2 false
supervise 14
for round in 1 2 3 4 5 6; do
    ask_all
    note "job states asked for: $KNOWN of 3 known, last answer $LAST"
    [ "$KNOWN" = 3 ] && break
    supervise 2
done
note "core-3 has ended by itself $EXITS times"
if [ "$KNOWN" != 3 ]; then
    note "BROKEN: LOST, accepted jobs get no answer though one disk at a time was lost"
    exit 1
fi
note "held"
exit 0
