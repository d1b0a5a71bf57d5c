# scene: a small deployment on loopback addresses, for the scripts of review 3.
#
# Three core and three edge machines, one process each, started with the
# commands of deploy/system.toml and settings like those of DEPLOY.md.  Every
# machine has an address of its own.  To be sourced by a run.sh, which sets
# HERE (its own folder) before.

ROOT=$(cd "$HERE/../.." && pwd)
STAND=$ROOT/target/review-3/stand
PROGRAM=$ROOT/target/mwplatformd
RECORD=$HERE/record.txt
WORK=
declare -A PIDS=()
BEGUN_S=$SECONDS

note() {
    printf '%4d s  %s\n' $((SECONDS - BEGUN_S)) "$*" | tee -a "$RECORD"
}

# the case could not run
unable() {
    note "the case could not run: $*"
    exit 2
}

end_scene() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    [ -z "$WORK" ] || rm -rf "$WORK"
}

core_ip() { echo "$NET.$1.10"; }
edge_ip() { echo "$NET.$1.20"; }

begin_scene() {
    local try i ips
    : >"$RECORD"
    [ -x "$STAND" ] || unable "run review/build-3.sh first"
    [ -x "$PROGRAM" ] || unable "run the build of the deploy file first"
    WORK=$(mktemp -d) || unable "no temporary folder"
    trap end_scene EXIT
    trap 'exit 2' INT TERM
    for try in 1 2 3 4 5 6 7 8; do
        NET=127.$((60 + RANDOM % 60))
        ips=
        for i in 1 2 3; do
            ips="$ips $(core_ip $i) $(edge_ip $i)"
        done
        if "$STAND" free 18521 $ips && "$STAND" free 18523 $ips &&
            "$STAND" free 18526 $ips && "$STAND" free 7015 $ips &&
            "$STAND" free 17000 $ips; then
            return
        fi
    done
    unable "no free ports"
}

# write_settings core|edge N BOOTSTRAP
write_settings() {
    local kind=$1 n=$2 bootstrap=$3 ip disk=null serves=edge binds counted=false
    if [ "$kind" = core ]; then
        ip=$(core_ip "$n")
        disk="\"$WORK/core-$n-disk\""
        mkdir -p "$WORK/core-$n-disk"
        serves=control_plane
        counted=true
        binds="  control: \"$ip:18526\""
    else
        ip=$(edge_ip "$n")
        binds="  frontend: \"$ip:18521\"
  readiness: \"$ip:18523\""
    fi
    cat >"$WORK/$kind-$n.yaml" <<SETTINGS
node-name: "$kind-depot-$n-1"
role: "$([ "$kind" = core ] && echo control || echo entry)"
machine-class: "$kind"
serves:
  - "$serves"
ip: "$ip"
zone: "depot-$n"
region: "connacht"
zones:
  depot-1: "connacht"
  depot-2: "connacht"
  depot-3: "connacht"
bind-addrs:
$binds
internal-ports:
  - 17000
  - 17015
seeds:
  - "$(core_ip 1):18526"
  - "$(core_ip 2):18526"
  - "$(core_ip 3):18526"
bootstrap: $bootstrap
is-counted: $counted
limits:
  cpu-share: 0.5
  cores: 1
  memory-mb: 256
  max-fds: 4096
  link-mbps: 1000.0
  disk-mb: 128
data-dir: $disk
discovery: "registry"
entry: "vip"
heartbeat-ms: 1500
fault-tolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  contact-ms: 3000
  ack-timeout-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 6
  config-apply-ms: 2000
  evacuation-ms: 5000
  recovery-s: 12
  hold-max-ms: 10000
  stop-timeout-ms: 900
  gang-timeout-ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  require-fence: true
  lease-ms: 3000
config_mode: "highest"
commands: "request"
SETTINGS
}

# start core|edge N BOOTSTRAP: as deploy/system.toml does
start() {
    write_settings "$@"
    (
        cd "$ROOT" || exit 2
        exec env -i PATH="$PATH" MIMOSAWIND_NODE_FILE="$WORK/$1-$2.yaml" \
            target/mwplatformd "$1" >>"$WORK/$1-$2.log" 2>&1
    ) 2>/dev/null &
    PIDS[$1-$2]=$!
}

is_up() { kill -0 "${PIDS[$1]}" 2>/dev/null; }

# kill_machine NAME: SIGKILL, and waits for the end
kill_machine() {
    kill -KILL "${PIDS[$1]}" 2>/dev/null
    wait "${PIDS[$1]}" 2>/dev/null || true
}

start_all() {
    local i
    for i in 1 2 3; do start core $i true; done
    for i in 1 2 3; do start edge $i false; done
}

CONFIG='{"version":7,"routes":[{"name":"r-a","host":"depot.example","path-prefix":"/check/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":1000,"priority":1,"service":"vanhub","max-attempts":2,"slack-factor":3.0,"public":false}],"services":[{"name":"vanhub","health-path":"/healthz","max-conns":64,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"enforce-capacity":false,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"kaje80","api-keys":["d4a3hwrr6x73d3zji9n7"],"priority":1,"guaranteed":{"gpus":8}}]}'

# put_config: the operator sends it until it is acknowledged
put_config() {
    local try answer
    for try in $(seq 1 40); do
        answer=$("$STAND" http "$(core_ip $((1 + try % 3)))" 18526 PUT \
            /mimosawind/config control none 1000 "$CONFIG")
        [ "${answer%% *}" = 200 ] && return 0
        sleep 0.25
    done
    return 1
}

# call METHOD ID [BODY]: a client's call, at an edge machine; writes the answer
NEXT_EDGE=0
call() {
    NEXT_EDGE=$((NEXT_EDGE % 3 + 1))
    "$STAND" http "$(edge_ip $NEXT_EDGE)" 18521 "$1" "/check/$2" \
        depot.example d4a3hwrr6x73d3zji9n7 1500 "${3:-}"
}

# hand_in ID: until it is accepted
hand_in() {
    local try answer
    for try in $(seq 1 20); do
        answer=$(call POST "$1" '{"spec":"check","phases":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":900}]}')
        NEXT_EDGE=$((NEXT_EDGE % 3 + 1))
        [ "${answer%% *}" = 200 ] && return 0
        sleep 0.2
    done
    return 1
}

# start_worker N FIRST_RUN: see worker.c
start_worker() {
    local zone=$((($1 - 1) % 3 + 1)) ip
    ip=$NET.$zone.$((30 + $1))
    "$STAND" free 18784 "$ip" || unable "no free port for a worker"
    "$ROOT/target/review-3/worker" "i-0000000$1" "$ip" 18784 "depot-$zone" \
        "$WORK/worker-$1.log" "$2" "$(core_ip 1)" "$(core_ip 2)" \
        "$(core_ip 3)" 2>>"$WORK/worker-$1.err" &
    PIDS[worker-$1]=$!
}

# leader: the number of the core machine that leads, by the processes' output
leader() {
    local i
    for i in 1 2 3; do
        if is_up core-$i && [ "$(grep -o '"event":"lead","outcome":"[a-z]*"' \
            "$WORK/core-$i.log" | tail -n 1)" = \
            '"event":"lead","outcome":"gained"' ]; then
            echo $i
            return 0
        fi
    done
    return 1
}

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
    local until_s=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -lt $until_s ] || return 1
        sleep 0.02
    done
}
