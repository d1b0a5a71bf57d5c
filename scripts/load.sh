#!/usr/bin/env bash
# load.sh: measure the overhead of the scheduler compared to requests sent
# directly to a fake endpoint.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-23000}
. scripts/cluster.sh
trap "kill_all; rm -rf \"$RUN\"" EXIT
init_cluster
start_cluster
promote_document examples/corrib/document.json || { echo "load: could not promote the document"; exit 1; }
wait_ready || { echo "load: the entry processes are not ready"; exit 1; }
pids=$(IFS=,; echo "${PID[*]}")
"$BUILD/load" "$(address endpoints za 0)" "$(address entry za 1)" \
    token-of-corrib-galway "$pids"
