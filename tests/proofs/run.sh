#!/usr/bin/env bash
# run.sh [NAME...]: system tests of the nine guarantees, with real processes and
# injected faults.
#
# Prints `NAME: N cases, F failed` for each test, then `N passed, F failed`.
# The requirements say "a few seconds"; BOUND takes that as 5.
set -u
cd "$(dirname "$0")/../.."
FIRST_PORT=${PORT:-27000}
CLUSTER_COUNT=0
. scripts/cluster.sh
trap 'kill_all; rm -rf /tmp/mimosawind-proof.$$.*' EXIT
BOUND=5
PASSED=0
FAILED=0
TOKENS=examples/corrib/tokens.json
DOC=examples/corrib/document.json

start_fresh_cluster() {
    kill_all
    CLUSTER_COUNT=$((CLUSTER_COUNT + 1))
    PORT=$((FIRST_PORT + CLUSTER_COUNT % 20 * 300))
    RUN=/tmp/mimosawind-proof.$$.$CLUSTER_COUNT
    CONTROLS=
    init_cluster
    start_cluster
    promote_document $DOC && wait_ready
}

# write_job REQUEST [key=value ...]: write a submission to a file and print its
# path
write_job() {
    local request=$1 file=$RUN/job.$RANDOM.json pair
    shift
    {
        printf '{"organisation":"corrib-galway","request":"%s"' "$request"
        for pair in "$@"; do
            printf ',"%s":%s' "${pair%%=*}" "${pair#*=}"
        done
        printf '}'
    } >"$file"
    echo "$file"
}

# submit ENTRY FILE [GIVE-UP-MS]: print the reply as JSON
submit() {
    "$MW" submit "$2" --entry "$1" --tokens $TOKENS --json \
        --give-up-ms "${3:-20000}" 2>/dev/null | head -1
}

json_field() {
    sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" <<<"$2"
}

count_starts() {
    cat "$RUN"/ledger-* 2>/dev/null | grep -c " started .* $1\$"
}

document_version() {
    "$MW" status --operator "$(address control-operator "$1" 1)" \
        --key-file "$RUN/key" --json 2>/dev/null |
        sed -n 's/.*"document_version": *\([0-9]*\).*/\1/p'
}

leader_number() {
    local n
    for n in $(zone_vms "$1"); do
        "$MW" status --operator "$(address control-operator "$1" "$n")" \
            --key-file "$RUN/key" --json 2>/dev/null |
            tr -d '\n ' | grep -q '"zone_log":{"role":"leader","leads":true' &&
            echo "$n" && return
    done
}

# expect DESCRIPTION COMMAND...: one case, which fails if the command fails
expect() {
    local what=$1
    shift
    CASES=$((CASES + 1))
    if ! "$@"; then
        FAILED_CASES=$((FAILED_CASES + 1))
        echo "  $NAME: failed: $what"
    fi
}

equals() { [ "$1" = "$2" ] || { echo "    wanted '$2', got '$1'"; false; }; }
at_most() { [ "$1" -le "$2" ] || { echo "    $1 is more than $2"; false; }; }
one_of() {
    local got=$1 want
    shift
    for want in "$@"; do [ "$got" = "$want" ] && return; done
    echo "    '$got' is none of: $*"
    false
}

# ---- the tests

reclaim() {
    start_fresh_cluster
    # other organisations' jobs use every accelerator of za
    local file="$RUN/fill.json" i reply
    {
        echo '['
        for i in $(seq 1 16); do
            [ "$i" = 1 ] || echo ','
            echo "{\"organisation\":\"corrib-leitrim\",\"request\":\"za:fill-$i\",\"accelerators\":8,\"idempotent\":true,\"checkpoint\":true,\"wait\":false,\"body\":\"ms=60000 id=fill-$i\"}"
        done
        echo ']'
    } >"$file"
    "$MW" submit "$file" --entry "$(address entry za 1)" --tokens $TOKENS \
        --give-up-ms 1500 >/dev/null 2>&1
    expect "other jobs fill the zone" [ "$(grep -c ' started ' "$RUN/ledger-za")" -ge 14 ]
    SECONDS=0
    reply=$(submit "$(address entry za 1)" "$(write_job za:gang tasks=4 accelerators=8 \
        'adjacent="rack"' processors=16 memory_mb=32768 idempotent=true \
        checkpoint=true wait=false 'body="ms=200 id=gang"')" 10000)
    expect "the job of the guaranteed shape is done" equals "$(json_field state "$reply")" done
    expect "within the time bound" at_most $SECONDS $BOUND
    expect "other jobs were preempted" [ "$(grep -c ' stopped ' "$RUN/ledger-za")" -ge 1 ]
}

gang() {
    start_fresh_cluster
    local reply
    submit "$(address entry za 1)" "$(write_job za:quad tasks=4 accelerators=8 \
        'adjacent="rack"' processors=8 idempotent=true checkpoint=true \
        wait=false 'body="ms=2500 id=quad"')" 1000 >/dev/null
    expect "all tasks run" equals "$(count_starts quad)" 4
    # all endpoints of the zone are killed and restart with a new incarnation
    stop_process w-za KILL
    start_endpoints za
    reply=$("$MW" wait corrib-galway za:quad --entry "$(address entry za 1)" \
        --tokens $TOKENS --json --give-up-ms 30000 | head -1)
    expect "the gang runs again and completes" equals "$(json_field state "$reply")" done
    expect "only whole gangs were started" equals $(($(count_starts quad) % 4)) 0
}

zone-out() {
    start_fresh_cluster
    local reply out
    run_operator_command zone out za >/dev/null
    expect "zone out succeeds" equals $? 0
    SECONDS=0
    reply=$(submit "$(address entry za 1)" "$(write_job check-1 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-1"')")
    expect "an unrecorded job runs in another zone" equals "$(json_field state "$reply")" done
    expect "no run starts in the zone" equals "$(grep -c started "$RUN/ledger-za")" 0
    reply=$(submit "$(address entry za 1)" "$(write_job za:order idempotent=false \
        wait=false 'body="ms=100 id=order"')")
    expect "a job that the zone owns runs in another zone" equals "$(json_field state "$reply")" done
    expect "it ran once" equals "$(count_starts order)" 1
    expect "it did not run in the zone" equals "$(grep -c started "$RUN/ledger-za")" 0
    # a scheduler is killed and restarted while the zone is out
    stop_process c-za-1 KILL
    start_control za 1
    wait_for 15 test "$(leader_number za)" != ""
    sleep 2
    reply=$(submit "$(address entry za 2)" "$(write_job check-2 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-2"')")
    expect "the zone is still out after a restart" equals "$(grep -c started "$RUN/ledger-za")" 0
    run_operator_command zone in za >/dev/null
    expect "zone in succeeds" equals $? 0
    reply=$(submit "$(address entry za 1)" "$(write_job za:after 'priority="urgent"' \
        idempotent=true wait=true 'body="id=after"')")
    expect "the zone runs jobs again" equals "$(json_field state "$reply")" done
}

answer() {
    start_fresh_cluster
    local reply size i bad=0 list=()
    reply=$(submit "$(address entry za 1)" "$(write_job big-1 idempotent=true wait=true \
        deadline_ms=30000 'body="size=8000000 id=big-1"')")
    size=$(json_field output "$reply" | wc -c)
    expect "an output of 8 MB is complete" [ "$size" -ge 8000000 ]
    for i in $(seq 1 20); do
        (reply=$(submit "$(address entry za 1)" "$(write_job "mix-$i" idempotent=true \
            wait=true "body=\"ms=$((RANDOM % 300)) size=$((i * 100)) id=mix-$i\"")")
        case $(json_field output "$reply") in "mix-$i;"*) ;; *) exit 1 ;; esac) &
        list+=($!)
    done
    for i in "${list[@]}"; do wait "$i" || bad=$((bad + 1)); done
    expect "each of twenty concurrent clients gets its own output" equals $bad 0
    # an entry process is killed; the client resends to another one and gets the
    # output of the same job
    submit "$(address entry za 1),$(address entry za 2)" "$(write_job za:slow \
        idempotent=false wait=true deadline_ms=15000 'body="ms=2000 id=slow"')" \
        15000 >"$RUN/slow.reply" &
    list=$!
    sleep 0.7
    stop_process e-za-1 KILL
    wait "$list"
    expect "the resent request gets the output of the first run" \
        equals "$(json_field output "$(cat "$RUN/slow.reply")")" "slow;"
    expect "the job ran once" equals "$(count_starts slow)" 1
}

not-run() {
    start_fresh_cluster
    local reply code
    reply=$(submit "$(address entry za 1)" "$(write_job huge tasks=1 accelerators=32 \
        idempotent=true wait=true 'body="id=huge"')")
    expect "a job with an impossible shape is refused as not run" equals "$(json_field kind "$reply")/$(json_field ran "$reply")" impossible/not_run
    expect "the refused job has not run" equals "$(count_starts huge)" 0
    # malformed, oversized, without a length, slow, truncated
    code=$(curl -s -o /dev/null -w '%{http_code}' -d '{"organisation":' "http://$(address entry za 1)/v1/jobs")
    expect "malformed body" equals "$code" 400
    code=$(curl -s -o /dev/null -w '%{http_code}' -X POST -H 'Content-Length: 99999999999' "http://$(address entry za 1)/v1/jobs")
    expect "oversized body" equals "$code" 413
    code=$(echo '{}' | curl -s -o /dev/null -w '%{http_code}' -H 'Transfer-Encoding: chunked' -d @- "http://$(address entry za 1)/v1/jobs")
    expect "body without a length" equals "$code" 400
    code=$(curl -s -o /dev/null -w '%{http_code}' "http://$(address entry za 1)/v1/jobs/corrib-galway/huge" -H 'Authorization: Bearer nonsense')
    expect "invalid token" equals "$code" 403
    code=$(curl -s -o /dev/null -w '%{http_code}' -d '{}' "http://$(address entry-operator za 1)/v1/changes")
    expect "operator request without a signature" equals "$code" 401
    exec 9<>"/dev/tcp/127.0.0.1/$(address entry za 1 | cut -d: -f2)"
    printf 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{"or' >&9
    reply=$(submit "$(address entry za 1)" "$(write_job beside 'priority="urgent"' \
        idempotent=true wait=true 'body="id=beside"')")
    expect "a slow client does not block other clients" equals "$(json_field state "$reply")" done
    reply=$(timeout 15 head -c 28 <&9)
    exec 9>&-
    expect "the slow client gets a timeout status" equals "$reply" "HTTP/1.1 408 Request Timeout"
    # without schedulers in the zone recorded jobs are refused, and unrecorded
    # jobs run in other zones
    stop_process c-zb-1 KILL
    stop_process c-zb-2 KILL
    sleep 3
    reply=$(submit "$(address entry zb 1)" "$(write_job check-1 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-1"')")
    expect "unrecorded jobs run in another zone if their zone has no schedulers" equals "$(json_field state "$reply")" done
    reply=$(submit "$(address entry zb 1)" "$(write_job zb:order idempotent=false \
        wait=true deadline_ms=2000 'body="id=order"')" 2500)
    expect "recorded jobs of that zone are refused" one_of "$(json_field kind "$reply")" unreachable deadline no_quorum
    expect "the refused job was not run" equals "$(count_starts order)" 0
}

at-most-once() {
    start_fresh_cluster
    local i reply sender
    # the scheduler is killed at different stages of a job
    for i in 1 2 3 4; do
        submit "$(address entry za 2),$(address entry za 3)" "$(write_job "za:order-$i" \
            idempotent=false wait=true deadline_ms=12000 \
            "body=\"ms=400 id=order-$i\"")" 14000 >"$RUN/order-$i.reply" &
        sender=$!
        sleep "0.0$((i * 2 - 1))"
        stop_process c-za-1 KILL
        sleep 0.5
        start_control za 1
        wait $sender
        sleep 3
        expect "scheduler killed, case $i: at most one run" at_most "$(count_starts "order-$i")" 1
        reply=$(cat "$RUN/order-$i.reply")
        expect "scheduler killed, case $i: a valid reply" one_of \
            "$(json_field state "$reply")$(json_field kind "$reply")" done \
            donedone deadline unknown doneunknown donestopped \
            donedeadline stopped unreachable no_quorum overloaded doneno_quorum
    done
    # a suspended scheduler resumes after another one has become leader
    submit "$(address entry za 2)" "$(write_job za:frozen idempotent=false wait=false \
        'body="ms=3000 id=frozen"')" 800 >/dev/null
    local n
    n=$(leader_number za)
    kill -STOP "${PID[c-za-$n]}"
    sleep 5
    submit "$(address entry za 2)" "$(write_job za:frozen idempotent=false wait=false \
        'body="ms=3000 id=frozen"')" 800 >/dev/null
    kill -CONT "${PID[c-za-$n]}"
    sleep 5
    expect "scheduler suspended and resumed: at most one run" at_most "$(count_starts frozen)" 1
    # all schedulers of the zone are killed at once
    submit "$(address entry za 2)" "$(write_job za:power idempotent=false wait=false \
        'body="ms=500 id=power"')" 300 >/dev/null
    for n in 1 2 3; do stop_process c-za-$n KILL; done
    for n in 1 2 3; do start_control za $n; done
    sleep 9
    reply=$(submit "$(address entry za 2)" "$(write_job za:power idempotent=false \
        wait=false 'body="ms=500 id=power"')" 12000)
    expect "power loss: at most one run" at_most "$(count_starts power)" 1
    expect "power loss: the job is known" one_of \
        "$(json_field state "$reply")$(json_field kind "$reply")" done doneunknown unknown
}

leaving() {
    start_fresh_cluster
    local before after reply
    submit "$(address entry za 1)" "$(write_job za:long idempotent=true checkpoint=true \
        wait=false 'body="ms=3000 id=long"')" 500 >/dev/null
    kill -USR1 "${PID[w-za]}"
    sleep $BOUND
    before=$(grep -c ' started ' "$RUN/ledger-za")
    for i in 1 2 3 4 5; do
        submit "$(address entry za 1)" "$(write_job "check-$i" 'priority="urgent"' \
            idempotent=true wait=true deadline_ms=1500 "body=\"id=check-$i\"")" \
            1500 >/dev/null
    done
    after=$(grep -c ' started ' "$RUN/ledger-za")
    expect "draining endpoints get no new runs" equals "$after" "$before"
    reply=$("$MW" wait corrib-galway za:long --entry "$(address entry za 1)" \
        --tokens $TOKENS --json --give-up-ms 8000 | head -1)
    expect "their current runs complete" equals "$(json_field state "$reply")" done
}

planned-stop() {
    start_fresh_cluster
    local list=() i bad=0
    for i in $(seq 1 10); do
        (reply=$(submit "$(address entry za 1)" "$(write_job "stop-$i" idempotent=true \
            wait=true "body=\"ms=1500 id=stop-$i\"")" 1)
        [ "$(json_field state "$reply")" = done ]) &
        list+=($!)
    done
    sleep 0.7
    SECONDS=0
    stop_process e-za-1 TERM
    for i in "${list[@]}"; do wait "$i" || bad=$((bad + 1)); done
    expect "no request is interrupted" equals $bad 0
    expect "the entry process completes its shutdown" grep -q event=left "$RUN/e-za-1.log"
    # the scheduler shuts down gracefully while a job runs
    (reply=$(submit "$(address entry za 2)" "$(write_job za:order idempotent=false \
        wait=true deadline_ms=15000 'body="ms=1500 id=order"')" 15000)
    [ "$(json_field state "$reply")" = done ]) &
    list=$!
    sleep 0.4
    stop_process "c-za-$(leader_number za)" TERM
    wait "$list"
    expect "a job survives the graceful shutdown of its scheduler" equals $? 0
    expect "it ran once" equals "$(count_starts order)" 1
}

# terminate NAME: SIGTERM to the process, returns its exit status
terminate() {
    local status
    kill -TERM "${PID[$1]}"
    wait "${PID[$1]}"
    status=$?
    unset "PID[$1]"
    return $status
}

# a control process used its listener after it was freed, found with
# make proofs SANITIZE=1 ONLY=exit-status
exit-status() {
    start_fresh_cluster
    local z n
    for z in za zb zc; do
        for n in $(zone_vms $z); do
            terminate "c-$z-$n"
            expect "c-$z-$n ends with status 0" equals $? 0
        done
    done
}

config() {
    start_fresh_cluster
    local n z out deadline
    sed 's/"version": *1/"version": 2/' $DOC >"$RUN/2.json"
    sed 's/"version": *1/"version": 2/; s/"queued_max": *2000/"queued_max": 1999/' \
        $DOC >"$RUN/2b.json"
    run_operator_command try "$RUN/2.json" --as aline >"$RUN/a" 2>&1 &
    n=$!
    run_operator_command try "$RUN/2b.json" --as jean-paul >"$RUN/b" 2>&1
    z=$?
    wait $n
    expect "one of two concurrent operators succeeds" equals $((z + $?)) 1
    expect "the other one's reply names the successful one" grep -q 'was set by' "$RUN/a" "$RUN/b"
    run_operator_command try "$RUN/2.json" >/dev/null 2>&1 || cp "$RUN/2b.json" "$RUN/2.json"
    run_operator_command try "$RUN/2.json" >/dev/null 2>&1
    expect "a resent request gets the same reply" equals $? 0
    SECONDS=0
    run_operator_command promote 2 >/dev/null
    expect "promote succeeds" equals $? 0
    for z in za zb zc; do
        wait_for $BOUND test "$(document_version $z)" = 2
        expect "version 2 is in force in $z" equals "$(document_version $z)" 2
    done
    expect "within the time bound" at_most $SECONDS $BOUND
    # a disk is lost; the member restarts, and then a second VM is lost
    stop_process c-za-1 KILL
    rm -rf "$RUN/c-za-1"
    start_control za 1
    sleep 8
    stop_process c-zb-1 KILL
    wait_for 15 test "$(document_version zc)" = 2
    expect "the version survives a lost disk and the loss of a second VM" equals "$(document_version zc)" 2
    sed 's/"version": *1/"version": 3/' $DOC >"$RUN/3.json"
    wait_for 15 run_operator_command try "$RUN/3.json"
    expect "the region still records changes" equals $? 0
    start_control zb 1
    wait_for 15 run_operator_command promote 3
    for z in za zb zc; do
        wait_for 10 has_version $z 3
        expect "version 3 is in force in $z" equals "$(document_version $z)" 3
    done
    # all control processes are killed and restarted
    for z in za zb zc; do for n in $(zone_vms $z); do stop_process "c-$z-$n" KILL; done; done
    for z in za zb zc; do for n in $(zone_vms $z); do start_control $z "$n"; done; done
    for z in za zb zc; do
        wait_for 15 has_version $z 3
        expect "the newest version is in force in $z after a restart" equals "$(document_version $z)" 3
    done
    # the process refuses to start with a corrupted byte in its log
    stop_process c-zc-1 KILL
    printf '\377' | dd of="$RUN/c-zc-1/zone.log" bs=1 seek=150 conv=notrunc 2>/dev/null
    start_control zc 1
    sleep 1
    expect "a damaged log file is refused" grep -q 'kind=damaged' "$RUN/c-zc-1.log"
}

has_version() { [ "$(document_version "$1")" = "$2" ]; }

silent() {
    # entry process za-1 is connected to the control processes through a relay
    start_fresh_cluster
    local z n args=() list="" reply port=$((PORT + 280))
    for z in za zb zc; do
        for n in $(zone_vms $z); do
            args+=("127.0.0.1:$port" "$(address control $z "$n")")
            list="$list,c-$z-$n=127.0.0.1:$port"
            port=$((port + 1))
        done
    done
    "$BUILD/relay" "${args[@]}" 2>>"$RUN/relay.log" &
    PID[relay]=$!
    stop_process e-za-1 KILL
    sleep 0.2
    CONTROLS=${list#,} start_entry za 1
    wait_for 10 is_ready "$(address entry za 1)"
    expect "the entry process is ready through the relay" equals "$(http_status "$(address entry za 1)" /ready)" 200
    kill -USR1 "${PID[relay]}"
    sleep 0.3
    kill -USR2 "${PID[relay]}"
    reply=$(submit "$(address entry za 1)" "$(write_job za:order idempotent=false \
        wait=true deadline_ms=9000 'body="id=order"')" 9500)
    expect "silent connections are replaced" equals "$(json_field state "$reply")" done
    expect "ran once" equals "$(count_starts order)" 1
    expect "the silent connection was detected by a deadline" grep -q event=link_silent "$RUN/e-za-1.log"
}

is_known_red() { grep -q "^$1:" KNOWN-RED.txt 2>/dev/null; }

ALL="reclaim gang zone-out answer not-run at-most-once leaving planned-stop exit-status config silent"
for NAME in ${*:-$ALL}; do
    CASES=0
    FAILED_CASES=0
    "$NAME"
    echo "$NAME: $CASES cases, $FAILED_CASES failed"
    if [ $FAILED_CASES = 0 ]; then
        PASSED=$((PASSED + 1))
    elif is_known_red "$NAME"; then
        echo "$NAME: known red"
    else
        FAILED=$((FAILED + 1))
    fi
done
kill_all
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
