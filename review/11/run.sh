#!/usr/bin/env bash
# A tenant without a guarantee runs a job that lasts on all workers; one of its
# tasks may be unavailable (`maxUnavailable`: 1). Another tenant hands in an
# urgent job within its guarantee, for which one worker is enough: it is never
# started.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

workers=4  # Of 8 accelerators each; 8 in all are guaranteed to kaje80.
lasting=00000000a4a11001
id=00000000a4a11002
limit='"maxUnavailable":1,'
[ "$TROUBLE" != 0 ] || limit=''

start_store
start_entry e1 z-1
start_entry e2 z-2
for n in $(seq $workers); do
  start_agent "a$n" "z-$((n % 3 + 1))"
  start_worker "a$n" "z-$((n % 3 + 1))" "r-$((n % 3 + 1))"
done
await_ready e1
await_ready e2
sleep 4

answer=$(call e1 POST "/batch/$lasting" \
  "{\"taskSpec\":\"0:lasting\",\"steps\":[{\"count\":4,\"cpu\":8000,\"memMb\":8192,\"gpu\":8,$limit\"longRunning\":true}]}" "$other_key")
[ "${answer%% *}" = 200 ] || cannot_run "the lasting job was not accepted"
sleep 4
[ "$(grep -c " run starts $lasting\." "$RECORD")" -eq 4 ] ||
  note "the lasting job does not fill the service"

answer=$(call e2 POST "/urgent/$id" \
  '{"taskSpec":"0:run_ms=3000","steps":[{"count":1,"cpu":4000,"memMb":4096,"gpu":8,"estimatedMs":3000}]}')
[ "${answer%% *}" = 200 ] || cannot_run "the urgent job was not accepted"
accepted_at=$(now_ms)
note "the urgent job is accepted"
begun_after=never
for _ in $(seq 300); do
  began=$(grep " run starts $id\." "$RECORD" | head -1)
  if [ -n "$began" ]; then
    begun_after=$((${began%% *} - accepted_at))
    break
  fi
  sleep 0.1
done
note "the urgent job began after (ms): $begun_after; reclaimMs is 2700; it is shown as $(state e1 /urgent/ $id)"
note "tasks of the lasting job that were stopped: $(grep -c " run ends $lasting\..* stopped" "$RECORD")"
grep script "$RECORD" | cut -d' ' -f3-
[ "$begun_after" = never ] && exit 1
[ "$begun_after" -le 2700 ] && exit 0
exit 1
