#!/usr/bin/env bash
# A burst of small jobs puts 600 short tasks on one worker; its agent is killed and starts again after
# 3.5 s. Meanwhile they end as done. The worker lists its ends 500 at a time;
# tasks whose ends are not in the first list are started once more.
source "$(dirname "$0")/../lib.sh"
begin
start_deployment

# A burst of 12 jobs of 50 tasks, 0.2 cores each. They need the label r1-2,
# which worker 4 alone has: 120 of its 128 cores.
JOBS=()
for n in $(seq 10 21); do JOBS+=("7c0e7a21d94b36$n"); done
TASKS=600
for job in "${JOBS[@]}"; do
  submit 1 /pule252/ "$job" '{"taskSpec":"0:run_ms=3000","steps":[{"count":50,"cpu":200,"memMb":256,"estimatedMs":3000,"requirements":"r1-2"}]}'
done
for n in $(seq 1 50); do
  [ "$(grep -c "run starts" "$RECORD")" -ge "$TASKS" ] && break
  sleep 0.05
done
note "started: $(grep -c "run starts" "$RECORD")"

if [ "$TROUBLE" != 0 ]; then
  # node_kill, how power: one machine is dark for 3.5 s.
  end agent-4 KILL
  sleep 3.5
  start_agent 4 sk-stred-a
  note "agent-4 starts again"
fi

open=("${JOBS[@]}")
for n in $(seq 1 30); do
  left=()
  for job in "${open[@]}"; do
    [[ "$(state $((n % 3 + 1)) /pule252/ "$job")" == *completed* ]] || left+=("$job")
  done
  open=("${left[@]}")
  [ "${#open[@]}" -eq 0 ] && break
  sleep 1
done
[ "${#open[@]}" -gt 0 ] && verdict 2 "${#open[@]} jobs are not completed"
sleep 2

# TWICE: a start after a run has ended done, if that end is taken note of then
# or later and the worker's lease has not lapsed between the two.
count="$(awk '
  $3 == "lease" { lapses++ }
  $3 == "run" && $4 == "ends" && $8 == "done" && !($5 in number) {
    number[$5] = $10; lapses_then[$5] = lapses }
  $3 == "run" && $4 == "starts" && ($5 in number) { again[$5] = 1 }
  $3 == "taken" {
    for (t in number)
      if (!(t in noted) && number[t] <= $8) {
        noted[t] = 1
        valid[t] = lapses_then[t] == lapses } }
  END { for (t in again) { all++; n += valid[t] }
        print n + 0, all + 0, lapses + 0 }' "$RECORD")"
read -r twice again lapses <<<"$count"
note "tasks started after a done run: $again, of these with the end taken note of: $twice; leases lapsed: $lapses"
[ "$twice" -gt 0 ] && verdict 1 "TWICE: $twice tasks started again after a run that ended as done"
verdict 0 "held: no task started again after a run that ended as done"
