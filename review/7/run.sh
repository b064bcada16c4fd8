#!/usr/bin/env bash
# The configuration moves a queue to another service while a job of the queue
# waits. The new service is idle. finish_s after the last call of a client the
# job must not have nothing running for 3 s.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 4
# Machines 1 and 2 are of the service svc, 3 and 4 of svc-new.
eval "start_worker_of_one() $(declare -f start_worker | tail -n +2)"
start_worker() {
  if [ "$1" -ge 3 ]; then start_worker_of_one "$@" --service svc-new; else start_worker_of_one "$@"; fi
}
put_queue() {
  "$BIN/client" put "$STORE" config "{\"version\":$1,\"routes\":[{\"name\":\"q\",\"host\":\"$HOST\",\"pathPrefix\":\"/q/\",\"service\":\"$2\",\"priority\":1,\"maxAttempts\":2,\"stretch\":3.0,\"targetLatencyMs\":1000}],\"services\":[{\"name\":\"svc\",\"enforcesCapacity\":true},{\"name\":\"svc-new\",\"enforcesCapacity\":true}],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"$KEY\"]}],\"limits\":{\"maxBodyBytes\":262144}}" ||
    could_not_run "the store does not take the configuration"
  note "configuration $1 is acknowledged: queue q goes to $2"
}
put_config() { put_queue 1 svc; }
start_all

# Both workers of svc are busy.
answer=$(call POST 1 /q/b000000000000001 '{"taskSpec":"0:run_ms=100000","steps":[{"count":2,"cpu":16000,"memMb":1024,"gpu":8,"estimatedMs":100000}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the large job is not accepted: $answer"
for n in 0 1; do
  await_start b000000000000001.0.0.$n 1 10 || could_not_run "the large job does not start"
done
job='{"taskSpec":"0:run_ms=3000","steps":[{"count":1,"cpu":16000,"memMb":1024,"gpu":4,"estimatedMs":3000}]}'
# With TROUBLE=0 the queue has gone to the other service before the job comes.
if [ "$TROUBLE" = 0 ]; then put_queue 2 svc-new; sleep 3; fi
answer=$(call POST 2 /q/c000000000000001 "$job")
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"
sleep 1
if [ "$TROUBLE" != 0 ]; then put_queue 2 svc-new; fi
sleep 5
answer=$(call POST 1 /q/c000000000000002 "$job")
[ "${answer%% *}" = 200 ] || could_not_run "the later job is not accepted: $answer"
ended=$(now_ms)
note "end of the traffic"
await_start c000000000000002.0.0.0 1 10 || note "the later job has not started"
await_start c000000000000001.0.0.0 1 14
first=$(starts_of c000000000000001.0.0.0 | head -1)
second=$(starts_of c000000000000002.0.0.0 | head -1)
state=$(call GET 1 /q/c000000000000001)
if [ -n "$first" ]; then
  echo "case 7: the job has started: $first, the later one: $second"
  exit 0
fi
while [ "$(now_ms)" -lt $((ended + 40000)) ] && [ -z "$(starts_of c000000000000001.0.0.0)" ]; do sleep 0.5; done
first=$(starts_of c000000000000001.0.0.0 | head -1)
note "14 s after the end of the traffic the job had not started, state $state; it starts: ${first:-not within 40 s}; the later job: $second"
echo "case 7: 14 s after the end of the traffic the job had not started, state $state; it starts: ${first:-not within 40 s}; the later job: $second"
exit 1
