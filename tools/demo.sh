#!/usr/bin/env bash
# Demonstrates the main functions: installs the packages, builds, starts stand-ins for the platform, two entries and an
# agent for each of the eleven workers, submits gangs, takes a data centre out of service and returns it to service.
# Needs no input.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install.sh
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -G Ninja -B "$build" -S . >/dev/null
ninja -C "$build" marjoramplank marjoramplank-entry marjoramplank-agent fake-log fake-worker | tail -1

source tools/cluster.sh
trap stop_cluster EXIT
print_heading() { printf '\n== %s\n' "$*"; }

print_heading "starting the stand-in log, 2 entries, 11 workers with their agents"
start_log
start_entry entry-1
start_entry entry-2
export MARJORAMPLANK_ENTRIES="$(listen_address entry-1 http),$(listen_address entry-2 http)"
rpc_addresses="\"$(listen_address entry-1 rpc)\",\"$(listen_address entry-2 rpc)\""
grep -o '"name": "w[0-9]*", "rack": "[^"]*", "data_centre": "[^"]*"' examples/obchvat.json | tr -d '",' |
  while read -r _ worker _ _ _ data_centre; do echo "$worker $data_centre"; done >"$run_dir/workers"
start_workers "$run_dir/workers"

print_heading "publishing the inventory"
$cli config check examples/obchvat.json
wait_for_status '"log_visible":true'
$cli config apply examples/obchvat.json --author demo --wait
wait_for_status '"workers_up":3[,}]'

print_heading "a gang of 4 tasks with 2 accelerators each, and its whole answer"
job_request detour-1 kraje 4 2 500 "" | $cli submit - --wait
print_heading "the same request again gives the same job; another body under its id is a conflict"
job_request detour-1 kraje 4 2 500 "" | $cli submit -
job_request detour-1 kraje 4 1 500 "" | $cli submit - || echo "exit code $?"
print_heading "a faulty request: every field is named, nothing is stored"
echo '{"request_id":"bad","account":"nobody","tasks":99,"colour":"red"}' | $cli submit - || echo "exit code $?"
print_heading "a gang that no data centre can hold is refused at once"
job_request huge kraje 64 8 500 "" | $cli submit - || echo "exit code $?"

print_heading "filling the cluster with borrowed work, then reclaiming a guarantee of three whole workers of one rack"
for n in $(seq 11); do job_request "fill-$n" obce 2 4 60000 ',"checkpointable":true' | $cli submit - >/dev/null; done
sleep 1
$cli status
started_at_ns=$(date +%s%N)
job_request closure-7 dialnice 3 8 300 ',"priority":"urgent"' | $cli submit - --wait
echo "the guarantee was reclaimed, run and answered in $(( ($(date +%s%N) - started_at_ns) / 1000000 )) ms"
job_id=$(job_request closure-7 dialnice 3 8 300 ',"priority":"urgent"' | $cli submit - --json | extract_job_id)
$cli trace "$job_id"

print_heading "taking the data centre martin out, and bringing it back"
$cli datacentre out martin --author demo --wait
sleep 2
$cli status
$cli datacentre in martin --author demo --wait
sleep 2
$cli status
print_heading "why a job waits"
waiting_job_id=$(job_request wide-1 kraje 4 8 1000 ',"adjacency":"data_centre","idempotent":false' | $cli submit - --json | extract_job_id)
sleep 0.5
$cli explain "$waiting_job_id"
$cli cancel "$waiting_job_id" --wait
print_heading "history of the configuration"
$cli config history
print_heading "done"
