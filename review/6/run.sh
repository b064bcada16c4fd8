#!/usr/bin/env bash
# An order to start a task is under way for some seconds. Meanwhile the worker
# crashes, the task is done elsewhere, and the worker starts again under its id.
# The task must not start once more, and no two runs of it may be at work at the
# same time on workers that are up.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 7
# The agent of machine 1 calls its worker through the network's stand-in. The
# worker listens at the machine's relay port, as an agent opens none.
eval "start_worker_of_one() $(declare -f start_worker | tail -n +2)"
start_worker() {
  if [ "$1" = 1 ]; then start_worker_of_one "$@" --address "$(machine_port 1 2)"; else start_worker_of_one "$@"; fi
}
echo pass > "$TEMP/network"
port_of() { echo "${1##*:}"; }
"$BIN/late_network" "$(port_of "$(machine_port 1 0)")" "$(port_of "$(machine_port 1 2)")" "$TEMP/network" & PIDS[network]=$!
start_all

JOB=9e0d5c0de0000001
TASK=$JOB.0.0.0
[ "$TROUBLE" != 0 ] && echo hold > "$TEMP/network"
answer=$(call POST 1 "/q/$JOB" '{"taskSpec":"0:run_ms=1500","steps":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimatedMs":1500}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"
if [ "$TROUBLE" != 0 ]; then
  tries=0
  until grep -q "network holds" "$RECORD"; do
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || could_not_run "no order has come by machine 1"
    sleep 0.01
  done
  note "worker i-1 crashes"
  end_process worker-1 KILL
  sleep 4.5
  note "worker i-1 starts again under its id"
  start_worker 1 i-1
fi
sleep 8
# Runs of the task, by worker and run; a life of a worker ends with its crash.
awk -v t="$TASK" '
  $3 == "run" && $4 == "starts" && $5 == t {
    if (done_at) { printf "run %s on %s started %d ms after %s had ended done on %s, which was taken note of\n", $7, $2, $1 - done_at, done_run, done_on; broken = 1 }
    n++; from[n] = $1; till[n] = 0; who[n] = $2; run[n] = $7
  }
  $3 == "run" && $4 == "ends" && $5 == t {
    for (k = 1; k <= n; k++) if (who[k] == $2 && run[k] == $7 && !till[k]) till[k] = $1
    if ($8 == "done") { listed = $1; listed_on = $2; listed_run = "run " $7; number = $10 }
  }
  $3 == "taken" && $2 == listed_on && $9 >= number { done_at = listed; done_on = listed_on; done_run = listed_run }
  $2 == "script" && $5 == "crashes" { for (k = 1; k <= n; k++) if (who[k] == $4 && !till[k]) till[k] = $1 }
  END {
    for (a = 1; a <= n; a++) for (b = a + 1; b <= n; b++) {
      ta = till[a] ? till[a] : 9e15; tb = till[b] ? till[b] : 9e15
      low = from[a] > from[b] ? from[a] : from[b]; high = ta < tb ? ta : tb
      if (high > low) { printf "run %s on %s and run %s on %s were at work at the same time for %d ms\n", run[a], who[a], run[b], who[b], high - low; broken = 1 }
    }
    exit broken
  }' "$RECORD" > "$TEMP/verdict"
verdict=$?
while read -r line; do note "$line"; done < "$TEMP/verdict"
state=$(call GET 1 "/q/$JOB")
echo "case 6: $(head -1 "$TEMP/verdict") state $state, starts $(starts_of "$TASK" | wc -l)"
[ "$TROUBLE" != 0 ] && [ "$verdict" = 0 ] && ! grep -q "network delivered late" "$RECORD" && could_not_run "the order was not delivered"
exit "$verdict"
