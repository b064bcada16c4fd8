#!/usr/bin/env bash
# A machine whose worker has many small tasks is removed for good. Jobs that
# come later must run on the other machines: finish_s after the last call of a
# client none may have nothing running for 3 s.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 3
start_all

COUNT=8000
JOB=f00d000000000001
answer=$(call POST 1 "/q/$JOB" '{"taskSpec":"0:run_ms=600000","steps":[{"count":'$COUNT',"cpu":15,"memMb":1,"estimatedMs":600000,"requirements":"r1"}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the wide job is not accepted: $answer"
sleep 1.2
begun=$(grep -c "i-1 run starts $JOB" "$RECORD")
note "tasks that have begun: $begun"
if [ "$TROUBLE" != 0 ]; then
  note "machine 1 is removed for good: its agent and its worker i-1"
  kill -KILL "${PIDS[worker-1]}" "${PIDS[agent-1]}"
  end_process worker-1 KILL
  end_process agent-1 KILL
fi
sleep 16
TASK=c000000000000001.0.0.0
answer=$(call POST 2 /q/c000000000000001 '{"taskSpec":"0:run_ms=2000","steps":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimatedMs":2000}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"
accepted=$(now_ms)
note "end of the traffic"
# finish_s is 14.
await_start "$TASK" 1 17
started=$(starts_of "$TASK" | head -1 | cut -d' ' -f1)
state=$(call GET 1 /q/c000000000000001)
if [ -n "$started" ]; then
  note "the later job started after $((started - accepted)) ms, state $state"
  echo "case 7: begun $begun; the later job started after $((started - accepted)) ms, state $state"
  exit 0
fi
note "17 s after the end of the traffic the later job had not started, state $state; both other workers are idle"
echo "case 7: begun $begun; 17 s after the end of the traffic the later job had not started, state $state"
exit 1
