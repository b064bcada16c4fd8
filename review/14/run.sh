#!/usr/bin/env bash
# The taskSpec of an accepted job holds the character U+0000. The worker is
# told to start the task with another taskSpec: the rest of it is missing.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

id=00000000005bec01
# As JSON has it; 17 characters in all.
if [ "$TROUBLE" != 0 ]; then
  spec='0:run_ms=400 a\u0000bc'
else
  spec='0:run_ms=400 a bc'
fi

start_store
start_entry e1 z-1
start_entry e2 z-2
# The agent calls its worker through a tap.
ports a1.control a1.worker a1.app a1.metrics a1.relay
start tap "$bin/tap" "${addr[a1.app]}" "${addr[a1.worker]}"
start_agent a1 z-1
start w-a1 "$bin/worker" --id i-a1 --address "${addr[a1.worker]}" \
  --agent "${addr[a1.control]}" --service planovac --zone z-1 --rack r-1 \
  --cpu 32000 --mem 65536 --gpu 8 --max-hold 6000
await_ready e1
await_ready e2
sleep 4

answer=$(call e1 POST "/batch/$id" "{\"taskSpec\":\"$spec\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"gpu\":1,\"estimatedMs\":400}]}")
note "the client was answered: $answer"
if [ "${answer%% *}" != 200 ]; then
  note "the job was not accepted"
  exit 0
fi
sleep 3
told=$(grep ' tap run-start ' "$RECORD" | grep "\"$id\.0\.0\.0\"" | head -1)
[ -n "$told" ] || cannot_run "the task was not started"
told=${told#*\"taskSpec\":\"} && told=${told%%\"*}
note "sent: $spec; the worker was told: $told; the job is shown as $(state e2 /batch/ $id)"
grep script "$RECORD" | cut -d' ' -f3-
[ "$told" = "$spec" ] && exit 0
exit 1
