#!/usr/bin/env bash
# Two appends of the store get no answer and are done seconds late. Meanwhile an
# agent is stopped and started again, and its worker is emptied and taken away,
# both as planned. The worker's task has to run elsewhere.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=late-left-out: only the appends are not disturbed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

workers=12
id=0000000057a7e001
task=$id.0.0.0

start_store
start_way_to_store
start_entry e1 z-1
start_entry e2 z-2
for n in $(seq $workers); do
  start_agent "a$n" "z-$((n % 3 + 1))"
  start_worker "a$n" "z-$((n % 3 + 1))" "r-$((n % 3 + 1))"
done
await_ready e1
await_ready e2
sleep 5

answer=$(call e1 POST "/batch/$id" \
  '{"taskSpec":"0:run_ms=20000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimatedMs":20000}]}')
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
await 4 " run starts $task " || cannot_run "the task was not started"
on=$(grep " run starts $task " "$RECORD") && on=${on#* i-} && on=${on%% *}
sleep 2
if [ "$TROUBLE" != 0 ]; then
  if [ "$TROUBLE" != late-left-out ]; then
    echo "hold $on" >"$tmp/way"
    await 6 " late_store .*: 2 of 2" || cannot_run "no two appends were held"
    sleep 1
  fi
  note "the agent $on is restarted"
  kill -TERM "${pids[$on]}"
  while kill -0 "${pids[$on]}" 2>/dev/null; do sleep 0.01; done
  start_agent "$on" "z-$((${on#a} % 3 + 1))"
  sleep 1
  note "the worker of $on drains, and leaves in 2.5 s"
  kill -TERM "${pids[w-$on]}"
  sleep 2.25
  echo deliver >"$tmp/way"
  await 4 " i-$on life ends, deregistered" || cannot_run "the worker has not left"
fi
# Longer than all leases, the planner's wait for a lost machine and finish_s.
sleep 40
last=$(grep " run \(starts\|ends\) $task " "$RECORD" | tail -1)
shown=$(state e1 /batch/ $id)
note "the job is shown as $shown; the last that was seen of its task: ${last#* }"
grep -E "script|late_store|life ends" "$RECORD" | cut -d' ' -f2-
[ "$shown" = completed ] && exit 0
grep -q " run starts $task run 2 " "$RECORD" && exit 0
exit 1
