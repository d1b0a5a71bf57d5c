#!/usr/bin/env bash
# load.sh: the overhead of the whole path over a fake endpoint, in one run.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-23000}
. scripts/cluster.sh
trap "kill_all; rm -rf \"$RUN\"" EXIT
init_cluster
start_cluster
put_in_force examples/corrib/document.json || { echo "load: no document in force"; exit 1; }
wait_ready || { echo "load: not ready"; exit 1; }
pids=$(IFS=,; echo "${PID[*]}")
"$BUILD/load" "$(address endpoints za 0)" "$(address entry za 1)" \
    token-of-corrib-galway "$pids"
