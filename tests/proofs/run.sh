#!/usr/bin/env bash
# run.sh [NAME...]: the nine promises on real processes, under real faults.
#
# One line a proof, `NAME: N cases, F failed`; last `N passed, F failed`.
# Bounds in seconds are the brief's "a few seconds", read as 5.
set -u
cd "$(dirname "$0")/../.."
BASE=${PORT:-27000}
ROUND=0
. scripts/cluster.sh
trap 'kill_all; rm -rf /tmp/mimosawind-proof.$$.*' EXIT
BOUND=5
PASSED=0
FAILED=0
TOKENS=examples/corrib/tokens.json
DOC=examples/corrib/document.json

fresh() {
    kill_all
    ROUND=$((ROUND + 1))
    PORT=$((BASE + ROUND % 20 * 300))
    RUN=/tmp/mimosawind-proof.$$.$ROUND
    CONTROLS=
    init_cluster
    start_cluster
    put_in_force $DOC && wait_ready
}

# job REQUEST [key=value ...]: one submission as a file, its path printed
job() {
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

# send ENTRY FILE [GIVE-UP-MS]: the reply as JSON
send() {
    "$MW" submit "$2" --entry "$1" --tokens $TOKENS --json \
        --give-up-ms "${3:-20000}" 2>/dev/null | head -1
}

field() {
    sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" <<<"$2"
}

starts() {
    cat "$RUN"/ledger-* 2>/dev/null | grep -c " started .* $1\$"
}

version_in() {
    "$MW" status --operator "$(address control-operator "$1" 1)" \
        --key-file "$RUN/key" --json 2>/dev/null |
        sed -n 's/.*"document_version": *\([0-9]*\).*/\1/p'
}

leader_of() {
    local n
    for n in $(vms "$1"); do
        "$MW" status --operator "$(address control-operator "$1" "$n")" \
            --key-file "$RUN/key" --json 2>/dev/null |
            tr -d '\n ' | grep -q '"zone_log":{"role":"leader","leads":true' &&
            echo "$n" && return
    done
}

# ok DESCRIPTION COMMAND...: one case
ok() {
    local what=$1
    shift
    CASES=$((CASES + 1))
    if ! "$@"; then
        FAULTS=$((FAULTS + 1))
        echo "  $NAME: failed: $what"
    fi
}

is() { [ "$1" = "$2" ] || { echo "    wanted '$2', got '$1'"; false; }; }
at_most() { [ "$1" -le "$2" ] || { echo "    $1 is more than $2"; false; }; }
one_of() {
    local got=$1 want
    shift
    for want in "$@"; do [ "$got" = "$want" ] && return; done
    echo "    '$got' is none of: $*"
    false
}

# ---- the proofs

reclaim() {
    fresh
    # others fill every accelerator of za
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
    ok "others fill the zone" [ "$(grep -c ' started ' "$RUN/ledger-za")" -ge 14 ]
    SECONDS=0
    reply=$(send "$(address entry za 1)" "$(job za:gang tasks=4 accelerators=8 \
        'adjacent="rack"' processors=16 memory_mb=32768 idempotent=true \
        checkpoint=true wait=false 'body="ms=200 id=gang"')" 10000)
    ok "the guaranteed shape runs" is "$(field state "$reply")" done
    ok "within the bound" at_most $SECONDS $BOUND
    ok "others were stopped for it" [ "$(grep -c ' stopped ' "$RUN/ledger-za")" -ge 1 ]
}

gang() {
    fresh
    local reply
    send "$(address entry za 1)" "$(job za:quad tasks=4 accelerators=8 \
        'adjacent="rack"' processors=8 idempotent=true checkpoint=true \
        wait=false 'body="ms=2500 id=quad"')" 1000 >/dev/null
    ok "all parts run" is "$(starts quad)" 4
    # every endpoint of the zone dies and returns under a new incarnation
    stop_one w-za KILL
    start_endpoints za
    reply=$("$MW" wait corrib-galway za:quad --entry "$(address entry za 1)" \
        --tokens $TOKENS --json --give-up-ms 30000 | head -1)
    ok "it runs again as a whole and ends" is "$(field state "$reply")" done
    ok "whole gangs started" is $(($(starts quad) % 4)) 0
}

zone-out() {
    fresh
    local reply out
    mw_change zone out za >/dev/null
    ok "out is answered" is $? 0
    SECONDS=0
    reply=$(send "$(address entry za 1)" "$(job check-1 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-1"')")
    ok "a check is served by another zone" is "$(field state "$reply")" done
    ok "nothing starts in the zone" is "$(grep -c started "$RUN/ledger-za")" 0
    reply=$(send "$(address entry za 1)" "$(job za:order idempotent=false \
        wait=false 'body="ms=100 id=order"')")
    ok "what the zone owns runs elsewhere" is "$(field state "$reply")" done
    ok "once" is "$(starts order)" 1
    ok "not in the zone" is "$(grep -c started "$RUN/ledger-za")" 0
    # the scheduler dies while out, and comes back
    stop_one c-za-1 KILL
    start_control za 1
    wait_for 15 test "$(leader_of za)" != ""
    sleep 2
    reply=$(send "$(address entry za 2)" "$(job check-2 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-2"')")
    ok "still out after a restart" is "$(grep -c started "$RUN/ledger-za")" 0
    mw_change zone in za >/dev/null
    ok "in is answered" is $? 0
    reply=$(send "$(address entry za 1)" "$(job za:after 'priority="urgent"' \
        idempotent=true wait=true 'body="id=after"')")
    ok "it serves again" is "$(field state "$reply")" done
}

answer() {
    fresh
    local reply size i bad=0 list=()
    reply=$(send "$(address entry za 1)" "$(job big-1 idempotent=true wait=true \
        deadline_ms=30000 'body="size=8000000 id=big-1"')")
    size=$(field output "$reply" | wc -c)
    ok "an answer of megabytes is whole" [ "$size" -ge 8000000 ]
    for i in $(seq 1 20); do
        (reply=$(send "$(address entry za 1)" "$(job "mix-$i" idempotent=true \
            wait=true "body=\"ms=$((RANDOM % 300)) size=$((i * 100)) id=mix-$i\"")")
        case $(field output "$reply") in "mix-$i;"*) ;; *) exit 1 ;; esac) &
        list+=($!)
    done
    for i in "${list[@]}"; do wait "$i" || bad=$((bad + 1)); done
    ok "twenty crossed answers reach their own callers" is $bad 0
    # an entry process dies; callers resend elsewhere and get their own
    send "$(address entry za 1),$(address entry za 2)" "$(job za:slow \
        idempotent=false wait=true deadline_ms=15000 'body="ms=2000 id=slow"')" \
        15000 >"$RUN/slow.reply" &
    list=$!
    sleep 0.7
    stop_one e-za-1 KILL
    wait "$list"
    ok "the resend gets the answer of the first run" \
        is "$(field output "$(cat "$RUN/slow.reply")")" "slow;"
    ok "which ran once" is "$(starts slow)" 1
}

not-run() {
    fresh
    local reply code
    reply=$(send "$(address entry za 1)" "$(job huge tasks=1 accelerators=32 \
        idempotent=true wait=true 'body="id=huge"')")
    ok "an impossible shape" is "$(field kind "$reply")/$(field ran "$reply")" impossible/not_run
    ok "has not run" is "$(starts huge)" 0
    # malformed, oversized, without a length, slow, truncated
    code=$(curl -s -o /dev/null -w '%{http_code}' -d '{"organisation":' "http://$(address entry za 1)/v1/jobs")
    ok "malformed" is "$code" 400
    code=$(curl -s -o /dev/null -w '%{http_code}' -X POST -H 'Content-Length: 99999999999' "http://$(address entry za 1)/v1/jobs")
    ok "oversized" is "$code" 413
    code=$(echo '{}' | curl -s -o /dev/null -w '%{http_code}' -H 'Transfer-Encoding: chunked' -d @- "http://$(address entry za 1)/v1/jobs")
    ok "without a length" is "$code" 400
    code=$(curl -s -o /dev/null -w '%{http_code}' "http://$(address entry za 1)/v1/jobs/corrib-galway/huge" -H 'Authorization: Bearer nonsense')
    ok "another's token" is "$code" 403
    code=$(curl -s -o /dev/null -w '%{http_code}' -d '{}' "http://$(address entry-operator za 1)/v1/changes")
    ok "an operator without a signature" is "$code" 401
    exec 9<>"/dev/tcp/127.0.0.1/$(address entry za 1 | cut -d: -f2)"
    printf 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{"or' >&9
    reply=$(send "$(address entry za 1)" "$(job beside 'priority="urgent"' \
        idempotent=true wait=true 'body="id=beside"')")
    ok "a slow caller disturbs nobody" is "$(field state "$reply")" done
    reply=$(timeout 15 head -c 28 <&9)
    exec 9>&-
    ok "and is told" is "$reply" "HTTP/1.1 408 Request Timeout"
    # no second VM and no disk: orders are refused, checks go on
    stop_one c-zb-1 KILL
    stop_one c-zb-2 KILL
    sleep 3
    reply=$(send "$(address entry zb 1)" "$(job check-1 'priority="urgent"' \
        idempotent=true wait=true 'body="id=check-1"')")
    ok "checks of a zone without schedulers go elsewhere" is "$(field state "$reply")" done
    reply=$(send "$(address entry zb 1)" "$(job zb:order idempotent=false \
        wait=true deadline_ms=2000 'body="id=order"')" 2500)
    ok "its orders are refused" one_of "$(field kind "$reply")" unreachable deadline no_quorum
    ok "and not run" is "$(starts order)" 0
}

at-most-once() {
    fresh
    local i reply sender
    # the scheduler dies at different moments of a job's life
    for i in 1 2 3 4; do
        send "$(address entry za 2),$(address entry za 3)" "$(job "za:order-$i" \
            idempotent=false wait=true deadline_ms=12000 \
            "body=\"ms=400 id=order-$i\"")" 14000 >"$RUN/order-$i.reply" &
        sender=$!
        sleep "0.0$((i * 2 - 1))"
        stop_one c-za-1 KILL
        sleep 0.5
        start_control za 1
        wait $sender
        sleep 3
        ok "death $i: at most once" at_most "$(starts "order-$i")" 1
        reply=$(cat "$RUN/order-$i.reply")
        ok "death $i: a truthful answer" one_of \
            "$(field state "$reply")$(field kind "$reply")" done \
            donedone deadline unknown doneunknown donestopped \
            donedeadline stopped unreachable no_quorum overloaded doneno_quorum
    done
    # a frozen scheduler wakes after another has taken over
    send "$(address entry za 2)" "$(job za:frozen idempotent=false wait=false \
        'body="ms=3000 id=frozen"')" 800 >/dev/null
    local n
    n=$(leader_of za)
    kill -STOP "${PID[c-za-$n]}"
    sleep 5
    send "$(address entry za 2)" "$(job za:frozen idempotent=false wait=false \
        'body="ms=3000 id=frozen"')" 800 >/dev/null
    kill -CONT "${PID[c-za-$n]}"
    sleep 5
    ok "freeze and wake: at most once" at_most "$(starts frozen)" 1
    # every process of the zone is killed at once
    send "$(address entry za 2)" "$(job za:power idempotent=false wait=false \
        'body="ms=500 id=power"')" 300 >/dev/null
    for n in 1 2 3; do stop_one c-za-$n KILL; done
    for n in 1 2 3; do start_control za $n; done
    sleep 9
    reply=$(send "$(address entry za 2)" "$(job za:power idempotent=false \
        wait=false 'body="ms=500 id=power"')" 12000)
    ok "power loss: at most once" at_most "$(starts power)" 1
    ok "power loss: the job is known" one_of \
        "$(field state "$reply")$(field kind "$reply")" done doneunknown unknown
}

leaving() {
    fresh
    local before after reply
    send "$(address entry za 1)" "$(job za:long idempotent=true checkpoint=true \
        wait=false 'body="ms=3000 id=long"')" 500 >/dev/null
    kill -USR1 "${PID[w-za]}"
    sleep $BOUND
    before=$(grep -c ' started ' "$RUN/ledger-za")
    for i in 1 2 3 4 5; do
        send "$(address entry za 1)" "$(job "check-$i" 'priority="urgent"' \
            idempotent=true wait=true deadline_ms=1500 "body=\"id=check-$i\"")" \
            1500 >/dev/null
    done
    after=$(grep -c ' started ' "$RUN/ledger-za")
    ok "endpoints that leave get no new work" is "$after" "$before"
    reply=$("$MW" wait corrib-galway za:long --entry "$(address entry za 1)" \
        --tokens $TOKENS --json --give-up-ms 8000 | head -1)
    ok "and end what they have" is "$(field state "$reply")" done
}

planned-stop() {
    fresh
    local list=() i bad=0
    for i in $(seq 1 10); do
        (reply=$(send "$(address entry za 1)" "$(job "stop-$i" idempotent=true \
            wait=true "body=\"ms=1500 id=stop-$i\"")" 1)
        [ "$(field state "$reply")" = done ]) &
        list+=($!)
    done
    sleep 0.7
    SECONDS=0
    stop_one e-za-1 TERM
    for i in "${list[@]}"; do wait "$i" || bad=$((bad + 1)); done
    ok "no request is cut off" is $bad 0
    ok "the process leaves by itself" grep -q event=left "$RUN/e-za-1.log"
    # the scheduler leaves while an order runs
    (reply=$(send "$(address entry za 2)" "$(job za:order idempotent=false \
        wait=true deadline_ms=15000 'body="ms=1500 id=order"')" 15000)
    [ "$(field state "$reply")" = done ]) &
    list=$!
    sleep 0.4
    stop_one "c-za-$(leader_of za)" TERM
    wait "$list"
    ok "an order outlives its scheduler's planned stop" is $? 0
    ok "and ran once" is "$(starts order)" 1
}

config() {
    fresh
    local n z out deadline
    sed 's/"version": *1/"version": 2/' $DOC >"$RUN/2.json"
    sed 's/"version": *1/"version": 2/; s/"queued_max": *2000/"queued_max": 1999/' \
        $DOC >"$RUN/2b.json"
    mw_change try "$RUN/2.json" --as aline >"$RUN/a" 2>&1 &
    n=$!
    mw_change try "$RUN/2b.json" --as jean-paul >"$RUN/b" 2>&1
    z=$?
    wait $n
    ok "of two operators one wins" is $((z + $?)) 1
    ok "the other is told who" grep -q 'was set by' "$RUN/a" "$RUN/b"
    mw_change try "$RUN/2.json" >/dev/null 2>&1 || cp "$RUN/2b.json" "$RUN/2.json"
    mw_change try "$RUN/2.json" >/dev/null 2>&1
    ok "a resend gets the same answer" is $? 0
    SECONDS=0
    mw_change promote 2 >/dev/null
    ok "promoted" is $? 0
    for z in za zb zc; do
        wait_for $BOUND test "$(version_in $z)" = 2
        ok "in force in $z" is "$(version_in $z)" 2
    done
    ok "within the bound" at_most $SECONDS $BOUND
    # a disk is lost; the member returns, and a second VM is lost after it
    stop_one c-za-1 KILL
    rm -rf "$RUN/c-za-1"
    start_control za 1
    sleep 8
    stop_one c-zb-1 KILL
    wait_for 15 test "$(version_in zc)" = 2
    ok "kept after a lost disk and a second loss" is "$(version_in zc)" 2
    sed 's/"version": *1/"version": 3/' $DOC >"$RUN/3.json"
    wait_for 15 mw_change try "$RUN/3.json"
    ok "and the region still records" is $? 0
    start_control zb 1
    wait_for 15 mw_change promote 3
    for z in za zb zc; do
        wait_for 10 test_version $z 3
        ok "version 3 in force in $z" is "$(version_in $z)" 3
    done
    # all processes restart
    for z in za zb zc; do for n in $(vms $z); do stop_one "c-$z-$n" KILL; done; done
    for z in za zb zc; do for n in $(vms $z); do start_control $z "$n"; done; done
    for z in za zb zc; do
        wait_for 15 test_version $z 3
        ok "the newest is in force in $z after a restart" is "$(version_in $z)" 3
    done
    # damage: a flipped byte stops the process with its remedy
    stop_one c-zc-1 KILL
    printf '\377' | dd of="$RUN/c-zc-1/zone.log" bs=1 seek=150 conv=notrunc 2>/dev/null
    start_control zc 1
    sleep 1
    ok "a damaged file is refused" grep -q 'kind=damaged' "$RUN/c-zc-1.log"
}

test_version() { [ "$(version_in "$1")" = "$2" ]; }

silent() {
    # entry za-1 reaches the control processes only through a relay
    fresh
    local z n args=() list="" reply port=$((PORT + 280))
    for z in za zb zc; do
        for n in $(vms $z); do
            args+=("127.0.0.1:$port" "$(address control $z "$n")")
            list="$list,c-$z-$n=127.0.0.1:$port"
            port=$((port + 1))
        done
    done
    "$BUILD/relay" "${args[@]}" 2>>"$RUN/relay.log" &
    PID[relay]=$!
    stop_one e-za-1 KILL
    sleep 0.2
    CONTROLS=${list#,} start_entry za 1
    wait_for 10 is_ready "$(address entry za 1)"
    ok "through the relay" is "$(http_status "$(address entry za 1)" /ready)" 200
    kill -USR1 "${PID[relay]}"
    sleep 0.3
    kill -USR2 "${PID[relay]}"
    reply=$(send "$(address entry za 1)" "$(job za:order idempotent=false \
        wait=true deadline_ms=9000 'body="id=order"')" 9500)
    ok "connections silent for good are replaced" is "$(field state "$reply")" done
    ok "ran once" is "$(starts order)" 1
    ok "found by deadline" grep -q event=link_silent "$RUN/e-za-1.log"
}

known_red() { grep -q "^$1:" KNOWN-RED.txt 2>/dev/null; }

ALL="reclaim gang zone-out answer not-run at-most-once leaving planned-stop config silent"
for NAME in ${*:-$ALL}; do
    CASES=0
    FAULTS=0
    "$NAME"
    echo "$NAME: $CASES cases, $FAULTS failed"
    if [ $FAULTS = 0 ]; then
        PASSED=$((PASSED + 1))
    elif known_red "$NAME"; then
        echo "$NAME: known red"
    else
        FAILED=$((FAILED + 1))
    fi
done
kill_all
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
