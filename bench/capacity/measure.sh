#!/usr/bin/env bash
# Measures the processor time, memory and message rates of an entry and an agent, idle and under load, with N agents.
# Usage: measure.sh BUILD_DIR N [SECONDS]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=$1; agent_count=$2; seconds=${3:-10}
source tools/cluster.sh
trap stop_cluster EXIT
# Processor time in clock ticks of 10 ms, so that ticks per second are percent of a core.
cpu_ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
# Resident memory in MiB.
rss_mb() { awk '/VmRSS/{printf "%.1f", $2/1024}' "/proc/$1/status"; }
metric() { curl -s "http://$1/metrics" | awk -v m="marjoramplank_$2{" 'index($0,m)==1{print $2}'; }
start_log
start_entry entry-1
export MARJORAMPLANK_ENTRIES="$(listen_address entry-1 http)"
rpc_addresses="\"$(listen_address entry-1 rpc)\""
{ echo '{"data_centres":[{"name":"d","region":"r"}],"accounts":[{"name":"a"}],"workers":['
  for i in $(seq "$agent_count"); do [ "$i" = 1 ] || echo ,; echo "{\"name\":\"w$i\",\"rack\":\"k$((i/3))\",\"data_centre\":\"d\",\"cores\":128,\"memory_mb\":524288,\"accelerators\":8}"; done
  echo ']}'; } >"$run_dir/inventory.json"
for i in $(seq "$agent_count"); do echo "w$i d"; done >"$run_dir/workers"
start_workers "$run_dir/workers"
wait_for_status '"log_visible":true'
$cli config apply "$run_dir/inventory.json" >/dev/null
wait_for_status "\"workers_up\":$agent_count[,}]"
sleep 2
measure() { # LABEL COMMAND...: prints the cost of an entry and an agent while the command runs.
  local entry_ticks_before agent_ticks_before messages_in_before messages_out_before entry_ticks_after agent_ticks_after messages_in_after messages_out_after
  entry_ticks_before=$(cpu_ticks "${pid_of[entry-1]}"); agent_ticks_before=$(cpu_ticks "${pid_of[agent-w1]}")
  messages_in_before=$(metric "$MARJORAMPLANK_ENTRIES" messages_in_total); messages_out_before=$(metric "$MARJORAMPLANK_ENTRIES" messages_out_total)
  local appends_before; appends_before=$(metric "$MARJORAMPLANK_ENTRIES" log_appends_total)
  "${@:2}"
  entry_ticks_after=$(cpu_ticks "${pid_of[entry-1]}"); agent_ticks_after=$(cpu_ticks "${pid_of[agent-w1]}")
  messages_in_after=$(metric "$MARJORAMPLANK_ENTRIES" messages_in_total); messages_out_after=$(metric "$MARJORAMPLANK_ENTRIES" messages_out_total)
  local appends_after; appends_after=$(metric "$MARJORAMPLANK_ENTRIES" log_appends_total)
  awk -v l="$1" -v n="$agent_count" -v s="$seconds" -v e=$((entry_ticks_after-entry_ticks_before)) -v a=$((agent_ticks_after-agent_ticks_before)) -v i=$((messages_in_after-messages_in_before)) -v o=$((messages_out_after-messages_out_before)) -v p=$((appends_after-appends_before)) \
    -v er="$(rss_mb "${pid_of[entry-1]}")" -v ar="$(rss_mb "${pid_of[agent-w1]}")" \
    'BEGIN{printf "%-6s agents %d: entry %.2f%% of a core, %s MB, %.1f messages/s in, %.1f out, %.1f appends/s; agent %.2f%% of a core, %s MB\n", l, n, e/s, er, i/s, o/s, p/s, a/s, ar}'
}
measure idle sleep "$seconds"
submit_load() { # Four clients, each with one request in flight, submit jobs for the given time.
  local end_second=$((SECONDS+seconds)) client client_pids=()
  for client in 1 2 3 4; do
    (count=0; while [ $SECONDS -lt $end_second ]; do count=$((count+1))
      curl -s -o /dev/null -X POST -d "$(job_request "c$client-$count" a 1 1 50)" "http://$MARJORAMPLANK_ENTRIES/v1/jobs"; done; echo $count >"$run_dir/count$client") &
    client_pids+=($!)
  done
  wait "${client_pids[@]}"
}
measure load submit_load
echo "submitted $(cat "$run_dir"/count? | paste -sd+ | bc 2>/dev/null || cat "$run_dir"/count? | awk '{s+=$1}END{print s}') jobs in $seconds s"
curl -s "http://$MARJORAMPLANK_ENTRIES/metrics" | awk '/submit_to_running_seconds_(sum|count)|submit_to_recorded_seconds_(sum|count)|gang_start_seconds_(sum|count)/{print}'
