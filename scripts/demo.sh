#!/usr/bin/env bash
# demo.sh [corrib|inzu]: try and promote a document, run its job list over
# three availability zones on loopback, then stop everything as planned.
set -u
cd "$(dirname "$0")/.."
WHO=${1:-corrib}
. scripts/cluster.sh
# endpoints as each deployment has them
case $WHO in
inzu) ENDPOINT_FLAGS="--count 16 --processors 128 --memory-mb 524288" ;;
*) ENDPOINT_FLAGS="--count 16 --processors 32 --memory-mb 65536" ;;
esac
trap kill_all EXIT
init_cluster
start_cluster
put_in_force "examples/$WHO/document.json" || {
    echo "demo: no document in force"
    mw_change try "examples/$WHO/document.json"
    exit 1
}
wait_ready || { echo "demo: not ready"; exit 1; }
entries=""
for z in za zb zc; do
    for n in $(vms $z); do entries="$entries,$(address entry $z "$n")"; done
done
"$MW" submit "examples/$WHO/jobs.json" --entry "${entries#,}" \
    --tokens "examples/$WHO/tokens.json" --title jobs >"$RUN/table"
status=$?
sed '$d' "$RUN/table"
stop_cluster
left=$(grep -L 'event=left' "$RUN"/c-*.log "$RUN"/e-*.log | wc -l)
[ "$left" = 0 ] || { echo "planned stop: $left processes did not leave by themselves"; status=1; }
sed -n '$s/^jobs:/demo:/p' "$RUN/table"
[ $status = 0 ] && rm -rf "$RUN"
exit $status
