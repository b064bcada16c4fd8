# Functions for the scripts of the cases 6 to 10: a small deployment on loopback
# with the program of the deploy file, the figures of obchvat-plany, and the
# project's stand-ins. Every process is ended by its id.

REPO="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BIN="$REPO/review/bin/2"
SITE="$REPO/target/marjoramplank-site"
TROUBLE="${TROUBLE:-1}"
HOST=review.example
KEY=key-a
declare -A PIDS=()

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) script $*" >> "$RECORD"; }
could_not_run() { note "the case could not run: $*"; echo "could not run: $*"; exit 2; }

# Ends a process that this script has started: end_process NAME SIGNAL.
end_process() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-$2" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  unset "PIDS[$1]"
}
end_all() {
  local name
  for name in "${!PIDS[@]}"; do disown "${PIDS[$name]}" 2>/dev/null; kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$TEMP"
}

# begin FOLDER ENTRIES MACHINES: addresses, the store and the configuration.
begin() {
  FOLDER=$1; ENTRIES=$2; MACHINES=$3
  export RECORD="$FOLDER/record.txt"
  : > "$RECORD"
  TEMP=$(mktemp -d)
  trap end_all EXIT
  local file
  for file in "$SITE" "$BIN/store" "$BIN/worker" "$BIN/client"; do
    [ -x "$file" ] || could_not_run "$file is not built"
  done
  mapfile -t PORTS < <("$BIN/client" ports $((1 + 4 * ENTRIES + 4 * MACHINES)))
  [ ${#PORTS[@]} -eq $((1 + 4 * ENTRIES + 4 * MACHINES)) ] || could_not_run "no free ports"
  STORE="127.0.0.1:${PORTS[0]}"
  "$BIN/store" --address "$STORE" --control "$TEMP/store.control" & PIDS[store]=$!
  sleep 0.3
}
bounds='"bounds":{"revoke_ms":5000,"max_lease_ms":10000,"gang_timeout_ms":3000,"reclaim_ms":2700}'

entry_port() { echo "127.0.0.1:${PORTS[$((1 + 4 * ($1 - 1) + $2))]}"; }   # 0 clients, 1 readiness, 2 relay, 3 metrics
machine_port() { echo "127.0.0.1:${PORTS[$((1 + 4 * ENTRIES + 4 * ($1 - 1) + $2))]}"; }  # 0 worker, 1 agent, 2 relay, 3 metrics
zone_of() { echo "z$((($1 - 1) % 3 + 1))"; }

start_entry() {
  local n=$1
  cat > "$TEMP/entry-$n.json" <<EOF
{"name":"edge-$n","data_centre":"$(zone_of "$n")","store":"$STORE","metrics_address":"$(entry_port "$n" 3)",
 "relay_address":"$(entry_port "$n" 2)","client_address":"$(entry_port "$n" 0)","readiness_address":"$(entry_port "$n" 1)",$bounds}
EOF
  MARJORAMPLANK_BOOT="$TEMP/entry-$n.json" "$SITE" entry >> "$TEMP/entry-$n.log" 2>&1 &
  PIDS[entry-$n]=$!
}
start_agent() {
  local n=$1
  cat > "$TEMP/agent-$n.json" <<EOF
{"name":"side-$n","data_centre":"$(zone_of "$n")","store":"$STORE","metrics_address":"$(machine_port "$n" 3)",
 "relay_address":"$(machine_port "$n" 2)","worker_address":"$(machine_port "$n" 1)","endpoint":"$(machine_port "$n" 0)",$bounds}
EOF
  MARJORAMPLANK_BOOT="$TEMP/agent-$n.json" "$SITE" agent >> "$TEMP/agent-$n.log" 2>&1 &
  PIDS[agent-$n]=$!
}
# start_worker N ID [OPTION...]
start_worker() {
  local n=$1 id=$2
  shift 2
  "$BIN/worker" --id "$id" --address "$(machine_port "$n" 0)" --agent "$(machine_port "$n" 1)" --service svc \
    --zone "$(zone_of "$n")" --rack "r$n" --cpu 128000 --mem 524288 --gpu 8 --max-hold 10000 --stop-ms 50 "$@" 2>> "$TEMP/worker-$n.log" &
  PIDS[worker-$n]=$!
}
put_config() {
  "$BIN/client" put "$STORE" config "{\"version\":$1,\"routes\":[{\"name\":\"q\",\"host\":\"$HOST\",\"pathPrefix\":\"/q/\",\"service\":\"svc\",\"priority\":1,\"maxAttempts\":2,\"stretch\":3.0,\"targetLatencyMs\":1000}],\"services\":[{\"name\":\"svc\",\"enforcesCapacity\":true}],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"$KEY\"],\"guaranteed\":{\"gpu\":8}}],\"limits\":{\"maxBodyBytes\":262144}}" ||
    could_not_run "the store does not take the configuration"
}
# Starts all, and waits until the entries are ready and the workers are known.
start_all() {
  put_config 1
  local n
  for ((n = 1; n <= ENTRIES; n++)); do start_entry "$n"; done
  for ((n = 1; n <= MACHINES; n++)); do start_agent "$n"; start_worker "$n" "i-$n"; done
  for ((n = 1; n <= ENTRIES; n++)); do
    local tries=0
    until "$BIN/client" ready "$(entry_port "$n" 1)" > /dev/null 2>&1; do
      tries=$((tries + 1))
      [ "$tries" -lt 100 ] || could_not_run "entry $n is not ready"
      sleep 0.1
    done
  done
  sleep 5
}
# call METHOD ENTRY PATH [BODY]: prints the status and the body.
call() { "$BIN/client" call "$1" "$(entry_port "$2" 0)" "$3" "$HOST" "$KEY" "${4:-}"; }

# starts_of TASK: "MS WORKER" of each start, oldest first.
starts_of() { awk -v t="$1" '$3 == "run" && $4 == "starts" && $5 == t { print $1, $2 }' "$RECORD"; }
# await_start TASK COUNT SECONDS: waits for that many starts.
await_start() {
  local end=$(($(now_ms) + $3 * 1000))
  while [ "$(starts_of "$1" | wc -l)" -lt "$2" ]; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.02
  done
}
