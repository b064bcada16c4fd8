#!/usr/bin/env bash
# A worker crashes while an order to start a task is under way to it, and its
# agent is killed twice before the worker is back under its id. The task must
# not be at work on two workers at the same time.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

workers=7
id=000000001a7e0001
task=$id.0.0.0

worker() { start_worker "a$1" "z-$(($1 % 3 + 1))" "r-$(($1 % 3 + 1))"; }

start_store
start_entry e1 z-1
start_entry e2 z-2
for n in $(seq $workers); do
  start_agent "a$n" "z-$((n % 3 + 1))"
  [ "$n" -ne 1 ] || start_network a1
  worker "$n"
done
await_ready e1
await_ready e2
sleep 5

[ "$TROUBLE" = 0 ] || echo hold >"$tmp/network.a1"
answer=$(call e1 POST "/batch/$id" \
  '{"taskSpec":"0:run_ms=5000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimatedMs":5000}]}')
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
if [ "$TROUBLE" != 0 ]; then
  await 4 " network holds: " || cannot_run "no order came to machine a1"
  kill_process w-a1
  note "crash of i-a1"
  note "the agent a1 is killed"
  kill_process a1
  sleep 1
  start_agent a1 z-2
  sleep 1.2
  note "the agent a1 is killed again"
  kill_process a1
  sleep 0.4
  start_agent a1 z-2
  sleep 2
  note "the worker i-a1 is back"
  worker 1
  await 4 " network delivered late: " || cannot_run "the order was not delivered"
fi
sleep 10
double_runs "$task" >"$tmp/broken"
while read -r line; do note "$line"; done <"$tmp/broken"
note "the job is shown as $(state e1 /batch/ $id)"
grep -E "script|network|run (starts|ends) $task" "$RECORD" | cut -d' ' -f2-
[ ! -s "$tmp/broken" ]
