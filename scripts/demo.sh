#!/usr/bin/env bash
# demo.sh [corrib|inzu]: try and promote an example's document, run its job
# list in three availability zones on loopback, then shut down gracefully.
set -u
cd "$(dirname "$0")/.."
WHO=${1:-corrib}
. scripts/cluster.sh
# the endpoints' size in each deployment
case $WHO in
inzu) ENDPOINT_FLAGS="--count 16 --processors 128 --memory-mb 524288" ;;
*) ENDPOINT_FLAGS="--count 16 --processors 32 --memory-mb 65536" ;;
esac
trap kill_all EXIT
init_cluster
start_cluster
promote_document "examples/$WHO/document.json" || {
    echo "demo: could not promote the document"
    run_operator_command try "examples/$WHO/document.json"
    exit 1
}
wait_ready || { echo "demo: the entry processes are not ready"; exit 1; }
entries=""
for z in za zb zc; do
    for n in $(zone_vms $z); do entries="$entries,$(address entry $z "$n")"; done
done
"$MW" submit "examples/$WHO/jobs.json" --entry "${entries#,}" \
    --tokens "examples/$WHO/tokens.json" --title jobs >"$RUN/table"
status=$?
sed '$d' "$RUN/table"
stop_cluster
unfinished=$(grep -L 'event=left' "$RUN"/c-*.log "$RUN"/e-*.log | wc -l)
[ "$unfinished" = 0 ] || { echo "graceful shutdown: $unfinished processes did not complete it"; status=1; }
sed -n '$s/^jobs:/demo:/p' "$RUN/table"
[ $status = 0 ] && rm -rf "$RUN"
exit $status
