#!/usr/bin/env bash
# An order to start a task gets no answer. The agent sends it once more, and the
# task is done. Then the worker crashes and is back under its id, and the first
# order gets there. The task must not start again.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

workers=7
id=000000001a7e0002
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
  '{"taskSpec":"0:run_ms=300","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimatedMs":300}]}')
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
if [ "$TROUBLE" != 0 ]; then
  await 4 " network holds: " || cannot_run "no order came to machine a1"
  await 4 " i-a1 taken note of ends" || cannot_run "the task was not done at i-a1"
  note "the job is shown as $(state e1 /batch/ $id)"
  kill_process w-a1
  note "crash of i-a1"
  sleep 4
  note "the worker i-a1 is back"
  worker 1
  await 4 " network delivered late: " || cannot_run "the order was not delivered"
fi
sleep 6
double_runs "$task" >"$tmp/broken"
while read -r line; do note "$line"; done <"$tmp/broken"
note "the job is shown as $(state e1 /batch/ $id)"
grep -E "script|network|run (starts|ends) $task" "$RECORD" | cut -d' ' -f2-
[ ! -s "$tmp/broken" ]
