# Functions for the scripts of the cases: a small deployment on loopback with
# the program of the deploy file, the figures of hangyeol-enrol, and the
# stand-ins. Every process is ended by its id.

REPO="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
SITE_PROGRAM="$REPO/target/marjoramplank-site"
STANDINS="$REPO/review/bin"
TROUBLE="${TROUBLE:-1}"
SITE="${SITE:-obchvat-plany}"  # Or hangyeol-enrol.
HOST=nony24.example
KEY=d4a3hwrr6x73d3zji9n7        # Of the tenant kaje80, guaranteed 16 accelerators.
OTHER_KEY=3hh2b9wu3fexd9dnn2ct  # Of the tenant bilo44, without a guarantee.
SERVICE=planovac

# Region, maxHoldMs, and the capacity of a worker.
REGION=sk-stred
MAX_HOLD_MS=10000
CAPACITY=(--cpu 128000 --mem 524288 --gpu 8)
if [ "$SITE" = hangyeol-enrol ]; then
  REGION=kr-central
  MAX_HOLD_MS=6000
  CAPACITY=(--cpu 32000 --mem 65536 --gpu 8)
fi

declare -A PID=()      # Process ids by name.
declare -A ADDRESS=()  # Addresses by name.
PORTS=()

# begin: a temporary folder, an empty record, ports, the end of all processes.
begin() {
  CASE="$(cd "$(dirname "$0")" && pwd)"
  export RECORD="$CASE/record.txt"
  : >"$RECORD"
  DIR="$(mktemp -d)"
  trap finish EXIT
  trap 'exit 2' TERM INT HUP
  if [ ! -x "$SITE_PROGRAM" ] || [ ! -x "$STANDINS/store" ]; then
    echo "not built: the build of deploy/system.toml and review/build.sh come first"
    exit 2
  fi
  mapfile -t PORTS < <("$STANDINS/client" ports 120)
  [ "${#PORTS[@]}" -eq 120 ] || exit 2
  note "case begins, TROUBLE=$TROUBLE"
}

note() { echo "$(date +%s%3N) script $*" >>"$RECORD"; }

finish() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$DIR"
}

# address NAME: gives NAME an address of its own.
address() {
  ADDRESS[$1]="127.0.0.1:${PORTS[-1]}"
  unset 'PORTS[-1]'
}

# run NAME COMMAND...: starts a process; its output goes to the temporary folder.
run() {
  local name="$1"
  shift
  "$@" >>"$DIR/$name.log" 2>&1 &
  PID[$name]=$!
  disown "${PID[$name]}"
}

# end NAME SIGNAL: sends the signal to one process of this case.
end() {
  note "$2 to $1"
  kill "-$2" "${PID[$1]}"
}

start_store() {
  address store
  run store "$STANDINS/store" --address "${ADDRESS[store]}" --control "$DIR/control"
}

# The settings as the platform makes them from deploy/node.json.
bounds() {
  echo "\"bounds\":{\"revoke_ms\":5000,\"max_lease_ms\":$MAX_HOLD_MS,\"gang_timeout_ms\":3000,\"reclaim_ms\":2700}"
}

# start_entry N ZONE
start_entry() {
  local name="entry-$1"
  if [ -z "${ADDRESS[$name]:-}" ]; then
    address "$name"
    address "$name.ready"
    address "$name.relay"
    address "$name.metrics"
  fi
  cat >"$DIR/$name.json" <<END
{"name":"edge-$2-1","data_centre":"$2","store":"${ADDRESS[store]}",
 "metrics_address":"${ADDRESS[$name.metrics]}","relay_address":"${ADDRESS[$name.relay]}",
 "client_address":"${ADDRESS[$name]}","readiness_address":"${ADDRESS[$name.ready]}",
 $(bounds)}
END
  MARJORAMPLANK_BOOT="$DIR/$name.json" run "$name" "$SITE_PROGRAM" entry
}

# start_agent N ZONE: the agent of the worker N.
start_agent() {
  local name="agent-$1"
  if [ -z "${ADDRESS[$name]:-}" ]; then
    address "$name"
    address "$name.relay"
    address "$name.metrics"
    address "worker-$1"
  fi
  cat >"$DIR/$name.json" <<END
{"name":"side-$2-$1","data_centre":"$2","store":"${ADDRESS[store]}",
 "metrics_address":"${ADDRESS[$name.metrics]}","relay_address":"${ADDRESS[$name.relay]}",
 "worker_address":"${ADDRESS[$name]}","endpoint":"${ADDRESS[worker-$1]}",
 $(bounds)}
END
  MARJORAMPLANK_BOOT="$DIR/$name.json" run "$name" "$SITE_PROGRAM" agent
}

# start_worker N ZONE RACK [OPTION VALUE...]: one life of the worker N.
start_worker() {
  local n="$1" zone="$2" rack="$3"
  shift 3
  run "worker-$n" "$STANDINS/worker" --id "i-00$n" --address "${ADDRESS[worker-$n]}" \
    --agent "${ADDRESS[agent-$n]}" --service "$SERVICE" --zone "$zone" --rack "$rack" \
    --max-hold "$MAX_HOLD_MS" "${CAPACITY[@]}" --control "$DIR/worker-$n.control" "$@"
}

# The operator's configuration: one queue for each priority.
put_config() {
  local version="$1"
  "$STANDINS/client" put "${ADDRESS[store]}" config "{\"version\":$version,\"routes\":[
{\"name\":\"r-2\",\"host\":\"$HOST\",\"pathPrefix\":\"/pule252/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":3000,\"priority\":2,\"service\":\"$SERVICE\",\"maxAttempts\":2,\"stretch\":3.0,\"anonymous\":false},
{\"name\":\"r-1\",\"host\":\"$HOST\",\"pathPrefix\":\"/lohu930/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"$SERVICE\",\"maxAttempts\":2,\"stretch\":3.0,\"anonymous\":false},
{\"name\":\"r-0\",\"host\":\"$HOST\",\"pathPrefix\":\"/pufi791/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"$SERVICE\",\"maxAttempts\":3,\"stretch\":1.5,\"anonymous\":false}],
\"services\":[{\"name\":\"$SERVICE\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"enforcesCapacity\":true,\"standby\":false}],
\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},
\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"$KEY\"],\"priority\":1,\"guaranteed\":{\"gpu\":16}},
{\"name\":\"bilo44\",\"apiKeys\":[\"$OTHER_KEY\"],\"priority\":1,\"guaranteed\":{\"gpu\":0}}]}"
}

ZONES=("$REGION-a" "$REGION-b" "$REGION-c")
# Zone and rack of the 11 workers: 4, 4 and 3 in a zone, at most 3 in a rack.
WORKER_ZONE=(x "${ZONES[0]}" "${ZONES[0]}" "${ZONES[0]}" "${ZONES[0]}" "${ZONES[1]}" "${ZONES[1]}" "${ZONES[1]}" "${ZONES[1]}" "${ZONES[2]}" "${ZONES[2]}" "${ZONES[2]}")
WORKER_RACK=(x r1-1 r1-1 r1-1 r1-2 r2-1 r2-1 r2-1 r2-2 r3-1 r3-1 r3-1)

# start_deployment: the store, 3 entries and 11 workers with their agents, as on
# the sheet of obchvat-plany. Exits with 2 if it does not become ready.
start_deployment() {
  local n
  start_store
  for n in 1 2 3; do start_entry "$n" "${ZONES[n - 1]}"; done
  for n in $(seq 1 11); do start_agent "$n" "${WORKER_ZONE[n]}"; done
  for n in $(seq 1 11); do start_worker "$n" "${WORKER_ZONE[n]}" "${WORKER_RACK[n]}"; done
  sleep 1
  put_config 7 || exit 2
  for n in $(seq 1 100); do
    "$STANDINS/client" ready "${ADDRESS[entry-1.ready]}" && break
    sleep 0.1
  done
  "$STANDINS/client" ready "${ADDRESS[entry-1.ready]}" || exit 2
  sleep 4
  note "the deployment is ready"
}

# submit ENTRY PREFIX ID BODY, cancel ENTRY PREFIX ID, state ENTRY PREFIX ID:
# print status and body.
submit() { "$STANDINS/client" call POST "${ADDRESS[entry-$1]}" "$2$3" "$HOST" "$KEY" "$4"; }
cancel() { "$STANDINS/client" call DELETE "${ADDRESS[entry-$1]}" "$2$3" "$HOST" "$KEY"; }
state() { "$STANDINS/client" call GET "${ADDRESS[entry-$1]}" "$2$3" "$HOST" "$KEY"; }

# verdict CODE TEXT: ends the case.
verdict() {
  note "verdict: $2"
  echo "$2"
  [ -n "${KEEP_LOGS:-}" ] && cp -r "$DIR" "$KEEP_LOGS"
  exit "$1"
}
