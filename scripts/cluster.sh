# cluster.sh: functions that run three availability zones on loopback; to be
# sourced.
#
# The example has three VMs in zone za, and two each in zb and zc.  The first
# VM of a zone has a disk.  Processes started here are only signalled by their
# process IDs.

BUILD=${BUILD:-build}
PORT=${PORT:-21000}
RUN=${RUN:-$(mktemp -d /tmp/mimosawind.XXXXXX)}
MW="$BUILD/mw"
declare -A PID

# address KIND ZONE NUMBER: IP address and port; each zone has 100 ports
address() {
    local zone
    case $2 in za) zone=0 ;; zb) zone=1 ;; zc) zone=2 ;; esac
    case $1 in
    control) echo "127.0.0.1:$((PORT + zone * 100 + $3))" ;;
    control-operator) echo "127.0.0.1:$((PORT + zone * 100 + 10 + $3))" ;;
    entry) echo "127.0.0.1:$((PORT + zone * 100 + 20 + $3))" ;;
    entry-operator) echo "127.0.0.1:$((PORT + zone * 100 + 30 + $3))" ;;
    entry-endpoints) echo "127.0.0.1:$((PORT + zone * 100 + 40 + $3))" ;;
    endpoints) echo "127.0.0.1:$((PORT + zone * 100 + 50))" ;;
    esac
}

# zone_vms ZONE: the numbers of its VMs
zone_vms() {
    case $1 in za) echo "1 2 3" ;; *) echo "1 2" ;; esac
}

# region_members: the --region option, one control process of each zone
region_members() {
    echo "c-za-1=$(address control za 1),c-zb-1=$(address control zb 1),c-zc-1=$(address control zc 1)"
}

# zone_members ZONE: the --group option; only the first member has a disk
zone_members() {
    local list="" n
    for n in $(zone_vms "$1"); do
        list="$list,c-$1-$n=$(address control "$1" "$n")"
        [ "$n" = 1 ] || list="$list/memory"
    done
    echo "${list#,}"
}

# control_processes: the --control option, all control processes
control_processes() {
    local list="" z n
    for z in za zb zc; do
        for n in $(zone_vms $z); do
            list="$list,c-$z-$n=$(address control $z "$n")"
        done
    done
    echo "${list#,}"
}

start_control() {
    local data=()
    [ "$2" = 1 ] && data=(--data "$RUN/c-$1-$2")
    "$BUILD/mwcontrold" --name "c-$1-$2" --zone "$1" \
        --listen "$(address control "$1" "$2")" \
        --operator "$(address control-operator "$1" "$2")" \
        --region "$(region_members)" --group "$(zone_members "$1")" \
        --key-file "$RUN/key" "${data[@]}" ${CONTROL_FLAGS:-} \
        2>>"$RUN/c-$1-$2.log" &
    PID[c-$1-$2]=$!
}

start_entry() {
    "$BUILD/mwentryd" --name "e-$1-$2" --zone "$1" \
        --listen "$(address entry "$1" "$2")" \
        --operator "$(address entry-operator "$1" "$2")" \
        --endpoints "$(address entry-endpoints "$1" "$2")" \
        --control "${CONTROLS:-$(control_processes)}" --key-file "$RUN/key" \
        2>>"$RUN/e-$1-$2.log" &
    PID[e-$1-$2]=$!
}

start_endpoints() {
    local list="" n
    for n in $(zone_vms "$1"); do
        list="$list,$(address entry-endpoints "$1" "$n")"
    done
    "$BUILD/fake-endpoint" --name "w-$1" \
        --address "$(address endpoints "$1" 0)" \
        --entries "${list#,}" --ledger "$RUN/ledger-$1" \
        ${ENDPOINT_FLAGS:---count 16} 2>>"$RUN/w-$1.log" &
    PID[w-$1]=$!
}

init_cluster() {
    local z
    mkdir -p "$RUN"
    "$MW" key >"$RUN/key"
    for z in za zb zc; do
        "$MW" init --data "$RUN/c-$z-1" --name "c-$z-1"
    done
}

start_cluster() {
    local z n
    for z in za zb zc; do
        for n in $(zone_vms $z); do
            start_control $z "$n"
            start_entry $z "$n"
        done
        start_endpoints $z
    done
}

# wait_for SECONDS COMMAND...: retry until the command succeeds, at most
# SECONDS
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || return 1
        sleep 0.1
    done
}

# http_status ADDRESS PATH: the status of a GET request
http_status() {
    curl -s -o /dev/null -w '%{http_code}' "http://$1$2"
}

is_ready() {
    [ "$(http_status "$1" /ready)" = 200 ]
}

# run_operator_command COMMAND...: mw as an operator
run_operator_command() {
    "$MW" "$@" --operator "$(address entry-operator za 1)" \
        --key-file "$RUN/key"
}

# promote_document FILE: try and promote a document, retrying until there is a
# leader
promote_document() {
    local version
    version=$(sed -n 's/.*"version": *\([0-9]*\).*/\1/p' "$1" | head -1)
    wait_for 15 run_operator_command try "$1" || return 1
    wait_for 15 run_operator_command promote "$version"
}

wait_ready() {
    local z n
    for z in za zb zc; do
        for n in $(zone_vms $z); do
            wait_for 15 is_ready "$(address entry $z "$n")" || return 1
        done
    done
}

# stop_process NAME [SIGNAL]: waits for the process after TERM and KILL
stop_process() {
    local pid=${PID[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"${2:-TERM}" "$pid" 2>/dev/null
    if [ "${2:-TERM}" = KILL ] || [ "${2:-TERM}" = TERM ]; then
        wait "$pid" 2>/dev/null
        unset "PID[$1]"
    fi
}

# graceful shutdown: entry processes, then endpoints, then control processes
stop_cluster() {
    local name
    for name in "${!PID[@]}"; do
        case $name in e-*) kill -TERM "${PID[$name]}" 2>/dev/null ;; esac
    done
    for name in "${!PID[@]}"; do
        case $name in e-*) wait "${PID[$name]}" 2>/dev/null; unset "PID[$name]" ;; esac
    done
    for name in "${!PID[@]}"; do
        kill -TERM "${PID[$name]}" 2>/dev/null
    done
    for name in "${!PID[@]}"; do
        wait "${PID[$name]}" 2>/dev/null
        unset "PID[$name]"
    done
}

kill_all() {
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -KILL "${PID[$name]}" 2>/dev/null
        wait "${PID[$name]}" 2>/dev/null
        unset "PID[$name]"
    done
}
