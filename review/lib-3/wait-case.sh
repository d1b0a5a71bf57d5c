# wait-case: a worker is lost just after it has started the only task; does the
# task start elsewhere in time?  Sourced by run.sh of cases 13 and 15, after
# scene.sh, with
#   lose_worker NAME   what happens to the worker that has the task
#   lose_more          what happens besides
JOB=00000000000000e1
WORKERS="1 2 3 4 5 6 7 8"

state() {
    local answer
    answer=$(call GET $JOB)
    case $answer in
    200*) sed 's/.*"state":"\([a-z]*\)".*/\1/' <<<"$answer" ;;
    *) echo "unknown" ;;
    esac
}

all_lines() { cat "$WORK"/worker-?.log | sort; }

starts() { all_lines | grep -c " start $JOB"; }

has_started() { [ "$(starts)" -ge 1 ]; }

has_started_again() { [ "$(starts)" -ge 2 ]; }

# the number of the worker that has the task
holder() {
    local n
    for n in $WORKERS; do
        grep -q " start $JOB" "$WORK/worker-$n.log" && echo "$n" && return
    done
}

run_wait_case() {
    local n handed_in_s again=no
    begin_scene
    start_all
    put_config || unable "the first configuration is not acknowledged"
    for n in $WORKERS; do
        start_worker "$n" "$([ "$TROUBLE" = 0 ] && echo good || echo long)"
    done
    sleep 5
    hand_in $JOB || unable "the job is not accepted"
    handed_in_s=$SECONDS
    note "job $JOB accepted: one task; 8 idle workers; the last request but for reads"
    wait_for 10 has_started || unable "the task is not started"
    if [ "$TROUBLE" != 0 ]; then
        n=$(holder)
        lose_worker "worker-$n"
        lose_more
    fi
    # finish_s is 14, and then 3 s; 3 s more are left to it
    while [ $((SECONDS - handed_in_s)) -lt 20 ]; do
        [ "$(state)" = completed ] && break
        has_started_again && again=yes
        sleep 0.2
    done
    note "20 s after the job was handed in, or at its end: state $(state), starts $(starts)"
    if [ "$(state)" != completed ] && [ $again = no ]; then
        wait_for 25 has_started_again
        all_lines | sed 's/^/        /' | tee -a "$RECORD"
        note "started again $(has_started_again && echo "$((SECONDS - handed_in_s)) s after it was handed in" || echo no)"
        note "BROKEN: LOST, nothing of the job runs, 7 workers are idle"
        exit 1
    fi
    all_lines | sed 's/^/        /' | tee -a "$RECORD"
    note "held"
    exit 0
}
