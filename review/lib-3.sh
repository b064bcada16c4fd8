# Shell functions of the scripts in review/11 to review/15: a small deployment
# of the project's own programs as separate processes on loopback addresses,
# with the project's stand-ins for the platform's store, workers and clients.
# Sourced by a run.sh, which has set `here` to its folder.

root=${root:-$(cd "$here/../.." && pwd)}
bin=$root/target/review-3
site=$root/target/marjoramplank-site
tmp=$(mktemp -d)
export RECORD=$here/record.txt
: >"$RECORD"
TROUBLE=${TROUBLE:-1}
declare -A pids=()   # Process ids by name.
declare -A addr=()   # Addresses by name.
host=nony24.example
key=key-of-kaje80         # Tenant kaje80, with 8 guaranteed accelerators.
other_key=key-of-ziny153  # Tenant ziny153, without a guarantee.

# Ends the processes that this script started, by their ids.
finish() {
  local name
  for name in "${!pids[@]}"; do
    kill_process "$name"
  done
  [ "${KEEP:-0}" = 1 ] && echo "logs: $tmp" || rm -rf "$tmp"
}
trap finish EXIT

# Ends the script: the case could not run.
cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*"
  exit 2
}

now_ms() { date +%s%3N; }

# One line of the record: Unix ms, source, text.
note() { echo "$(now_ms) script $*" >>"$RECORD"; }

# ports NAME...: gives each name a free loopback address.
ports() {
  local free name n=0
  mapfile -t free < <("$bin/client" ports $#)
  [ ${#free[@]} -eq $# ] || cannot_run "no free ports"
  for name in "$@"; do
    addr[$name]=127.0.0.1:${free[n]}
    n=$((n + 1))
  done
}

# start NAME COMMAND...: starts a process and keeps its id.
start() {
  local name=$1
  shift
  (cd "$root" && exec "$@") >>"$tmp/$name.out" 2>&1 &
  pids[$name]=$!
  disown "$!"
}

# kill_process NAME: ends the process and waits until it has gone.
kill_process() {
  kill -KILL "${pids[$1]}" 2>/dev/null
  while kill -0 "${pids[$1]}" 2>/dev/null; do
    sleep 0.01
  done
  unset "pids[$1]"
}

# settings NAME ROLE ZONE: the settings file of deploy/node.json, filled in.
settings() {
  local name=$1 role=$2 zone=$3 own
  if [ "$role" = entry ]; then
    own="\"client_address\": \"${addr[$name.client]}\", \"readiness_address\": \"${addr[$name.ready]}\","
  else
    own="\"worker_address\": \"${addr[$name.control]}\", \"endpoint\": \"${addr[$name.app]}\","
  fi
  cat >"$tmp/$name.json" <<JSON
{ "name": "$name", "data_centre": "$zone", "store": "${addr[store]}",
  "metrics_address": "${addr[$name.metrics]}", "relay_address": "${addr[$name.relay]}",
  $own
  "bounds": { "revoke_ms": 5000, "max_lease_ms": ${max_hold_ms:-6000},
              "gang_timeout_ms": 3000, "reclaim_ms": 2700 } }
JSON
}

start_entry() {  # NAME ZONE
  [ -n "${addr[$1.client]:-}" ] ||
    ports "$1.client" "$1.ready" "$1.metrics" "$1.relay"
  settings "$1" entry "$2"
  MARJORAMPLANK_BOOT=$tmp/$1.json start "$1" "$site" entry
}

start_agent() {  # NAME ZONE
  [ -n "${addr[$1.control]:-}" ] ||
    ports "$1.control" "$1.app" "$1.metrics" "$1.relay"
  settings "$1" agent "$2"
  MARJORAMPLANK_BOOT=$tmp/$1.json start "$1" "$site" agent
}

# start_worker AGENT ZONE RACK [OPTION...]: the worker on the agent's machine.
start_worker() {
  local agent=$1 zone=$2 rack=$3
  shift 3
  start "w-$agent" "$bin/worker" --id "i-$agent" --address "${addr[$agent.app]}" \
    --agent "${addr[$agent.control]}" --service planovac --zone "$zone" \
    --rack "$rack" --cpu 32000 --mem 65536 --gpu 8 \
    --max-hold "${max_hold_ms:-6000}" "$@"
}

start_store() {
  ports store
  start store "$bin/store" --address "${addr[store]}" --control "$tmp/store.control" "$@"
  local n
  for n in $(seq 50); do
    put_config 1 && return
    sleep 0.1
  done
  cannot_run "the store does not start"
}

route() {  # NAME PREFIX PRIORITY
  cat <<JSON
{ "name": "$1", "host": "$host", "pathPrefix": "$2", "routeKind": "non_idempotent",
  "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": $3, "service": "planovac",
  "maxAttempts": 2, "stretch": 3.0, "anonymous": false }
JSON
}

put_config() {  # VERSION
  "$bin/client" put "${addr[store]}" config "{ \"version\": $1,
    \"routes\": [ $(route batch /batch/ 2), $(route urgent /urgent/ 0) ],
    \"services\": [ { \"name\": \"planovac\", \"enforcesCapacity\": true, \"standby\": false } ],
    \"limits\": { \"maxHeaderBytes\": 16384, \"maxBodyBytes\": 262144,
                  \"headerTimeoutMs\": 3000, \"idleTimeoutMs\": 15000 },
    \"tenants\": [ { \"name\": \"kaje80\", \"apiKeys\": [ \"$key\" ], \"priority\": 1,
                     \"guaranteed\": { \"gpu\": 8 } },
                   { \"name\": \"ziny153\", \"apiKeys\": [ \"$other_key\" ], \"priority\": 1,
                     \"guaranteed\": { \"gpu\": 0 } } ] }" >/dev/null 2>&1
}

await_ready() {  # ENTRY
  local n
  for n in $(seq 100); do
    "$bin/client" ready "${addr[$1.ready]}" && return
    sleep 0.1
  done
  cannot_run "$1 is not ready"
}

# call ENTRY METHOD PATH [BODY [KEY]]: prints the status and the body.
call() {
  "$bin/client" call "$2" "${addr[$1.client]}" "$3" "$host" "${5:-$key}" "${4:-}"
}

# state ENTRY PREFIX ID: prints the state of the job, or the status.
state() {
  local answer
  answer=$(call "$1" GET "$2$3")
  case $answer in
    *'"state":"'*) answer=${answer#*\"state\":\"} && echo "${answer%%\"*}" ;;
    *) echo "${answer%% *}" ;;
  esac
}
