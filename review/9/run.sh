#!/usr/bin/env bash
# The configuration moves a queue to another service while a job of the queue
# runs; then the last worker of the old service is emptied and taken away. The
# job must go on at the new service, which is idle: finish_s after the last call
# of a client it must not have nothing running for 3 s.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 7
# Machine 1 is of the service svc, the others of svc-new.
eval "start_worker_of_one() $(declare -f start_worker | tail -n +2)"
start_worker() {
  if [ "$1" -ge 2 ]; then start_worker_of_one "$@" --service svc-new; else start_worker_of_one "$@"; fi
}
put_queue() {
  "$BIN/client" put "$STORE" config "{\"version\":$1,\"routes\":[{\"name\":\"q\",\"host\":\"$HOST\",\"pathPrefix\":\"/q/\",\"service\":\"$2\",\"priority\":1,\"maxAttempts\":2,\"stretch\":3.0,\"targetLatencyMs\":1000}],\"services\":[{\"name\":\"svc\",\"enforcesCapacity\":true},{\"name\":\"svc-new\",\"enforcesCapacity\":true}],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"$KEY\"]}],\"limits\":{\"maxBodyBytes\":262144}}" ||
    could_not_run "the store does not take the configuration"
  note "configuration $1 is acknowledged: queue q goes to $2"
}
put_config() { put_queue 1 svc; }
start_all

TASK=c000000000000001.0.0.0
answer=$(call POST 2 /q/c000000000000001 '{"taskSpec":"0:run_ms=14000","steps":[{"count":1,"cpu":16000,"memMb":1024,"gpu":4,"estimatedMs":14000}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"
await_start "$TASK" 1 10 || could_not_run "the job does not start"
sleep 1
if [ "$TROUBLE" != 0 ]; then
  put_queue 2 svc-new
  # configApplyMs is 2,000.
  sleep 4
  note "worker i-1, the last one of svc, is told to leave"
  kill -TERM "${PIDS[worker-1]}"
  # The job is the last one of a client, so that it alone can be missing.
  answer=$(call POST 1 /q/c000000000000002 '{"taskSpec":"0:run_ms=2000","steps":[{"count":1,"cpu":16000,"memMb":1024,"gpu":4,"estimatedMs":2000}]}')
  [ "${answer%% *}" = 200 ] || could_not_run "the later job is not accepted: $answer"
fi
note "end of the traffic"
# finish_s is 14; 3 s more.
sleep 17
answer=$(call GET 1 /q/c000000000000001)
later=$(call GET 2 /q/c000000000000002)
starts=$(starts_of "$TASK" | wc -l)
note "17 s after the end of the traffic: the job $answer, starts of its task $starts; the later job $later"
echo "case 9: 17 s after the end of the traffic: the job $answer, starts of its task $starts; the later job $later"
case $answer in *completed*) exit 0 ;; esac
[ "$starts" -ge 2 ] && exit 0
sleep 25
answer=$(call GET 1 /q/c000000000000001)
starts=$(starts_of "$TASK" | wc -l)
note "42 s after the end of the traffic: the job $answer, starts of its task $starts"
exit 1
