# Functions that run a small cluster on loopback with stand-ins for the platform. Sourced by demo.sh, the black-box
# tests and the capacity benchmark. Needs $build (build folder). Sets $run_dir (temporary folder) and $cli (command line
# client).
run_dir=$(mktemp -d)
cli="$build/marjoramplank"
declare -A pid_of
# Stops every process with SIGTERM, after 4 s with SIGKILL. SIGCONT wakes frozen ones, which would not act on SIGTERM.
stop_cluster() {
  set +e  # A process that has ended already is no error.
  trap - EXIT
  local pid
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -TERM "$pid" 2>/dev/null; done
  for _ in $(seq 40); do
    local any_alive=0
    for pid in "${pid_of[@]}"; do kill -0 "$pid" 2>/dev/null && any_alive=1; done
    [ $any_alive = 0 ] && break
    sleep 0.1
  done
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$run_dir"
}
# start_process NAME COMMAND...: runs a process in the background with its output in $run_dir/NAME.
start_process() { local name=$1; shift; "$@" >"$run_dir/$name" 2>&1 & pid_of[$name]=$!; disown "${pid_of[$name]}"; }
# listen_address NAME KIND: waits up to 10 s until a process has printed its listen address and prints that. KIND is
# "http" or "rpc".
listen_address() {
  local attempts=0
  until grep -qo "$2 [0-9.]*:[0-9]*" "$run_dir/$1" 2>/dev/null; do sleep 0.05; attempts=$((attempts+1)); [ $attempts -lt 200 ] || return 1; done
  grep -o "$2 [0-9.]*:[0-9]*" "$run_dir/$1" | head -1 | cut -d' ' -f2
}
start_log() { start_process log "$build/fake-log" 127.0.0.1:0; log_address=$(listen_address log http); }
start_entry() { # NAME
  echo "{\"name\":\"$1\",\"http\":\"127.0.0.1:0\",\"rpc\":\"127.0.0.1:0\",\"platform_log\":\"$log_address\",\"append_timeout_ms\":1000}" >"$run_dir/$1.json"
  start_process "$1" "$build/marjoramplank-entry" --settings "$run_dir/$1.json"
}
# The endpoint of the worker must be running. Needs $rpc_addresses (of the entries; quoted, comma-separated).
start_agent() { # WORKER DATA_CENTRE
  echo "{\"worker\":\"$1\",\"data_centre\":\"$2\",\"endpoint\":\"$(listen_address "worker-$1" http)\",\"entries\":[$rpc_addresses],\"cores\":128,\"memory_mb\":524288,\"accelerators\":8,\"shutdown_timeout_ms\":${agent_shutdown_ms:-300}}" >"$run_dir/agent-$1.json"
  start_process "agent-$1" "$build/marjoramplank-agent" --settings "$run_dir/agent-$1.json"
}
start_workers() { # FILE, with lines "WORKER DATA_CENTRE"
  while read -r worker data_centre; do start_process "worker-$worker" "$build/fake-worker" "$worker" 127.0.0.1:0 8 8; done <"$1"
  while read -r worker data_centre; do start_agent "$worker" "$data_centre"; done <"$1"
}
# wait_for_status PATTERN: waits up to 300 polls until the JSON of the status command matches the pattern.
wait_for_status() { local attempts=0; until $cli status --json 2>/dev/null | grep -q "$1"; do sleep 0.1; attempts=$((attempts+1)); [ $attempts -lt 300 ] || return 1; done; }
job_request() { # REQUEST_ID ACCOUNT TASKS ACCELERATORS RUN_MS [EXTRA_FIELDS]: prints a job request.
  echo "{\"request_id\":\"$1\",\"account\":\"$2\",\"tasks\":$3,\"cores\":4,\"memory_mb\":1024,\"accelerators\":$4,\"expected_run_time_ms\":$5,\"payload\":\"run_ms=$5;answer=plan\"${6:-}}"
}
# Prints the job ID from a response on standard input.
extract_job_id() { grep -o '"job":"[0-9a-f]*"' | head -1 | cut -d'"' -f4; }
