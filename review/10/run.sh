#!/usr/bin/env bash
# A configuration removes a route and adds another one with the same host, path
# prefix and service. A GET for an accepted job must not be answered 410.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 3
put_named() {
  "$BIN/client" put "$STORE" config "{\"version\":$1,\"routes\":[{\"name\":\"$2\",\"host\":\"$HOST\",\"pathPrefix\":\"/q/\",\"service\":\"svc\",\"priority\":1,\"maxAttempts\":2,\"stretch\":3.0,\"targetLatencyMs\":1000}],\"services\":[{\"name\":\"svc\",\"enforcesCapacity\":true}],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"$KEY\"]}],\"limits\":{\"maxBodyBytes\":262144}}" ||
    could_not_run "the store does not take the configuration"
  note "configuration $1 is acknowledged: route $2"
}
put_config() { put_named 1 r-old; }
start_all
answer=$(call POST 1 /q/c000000000000001 '{"taskSpec":"0:run_ms=30000","steps":[{"count":1,"cpu":16000,"memMb":1024,"gpu":4,"estimatedMs":30000}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"
await_start c000000000000001.0.0.0 1 10 || could_not_run "the job does not start"
sleep 4
if [ "$TROUBLE" = 0 ]; then put_named 2 r-old; else put_named 2 r-new; fi
# configApplyMs is 2,000; visible_ms has passed too.
sleep 5
gone=0
for round in 1 2 3; do
  for entry in 1 2; do
    answer=$(call GET "$entry" /q/c000000000000001)
    [ "${answer%% *}" = 410 ] && gone=$((gone + 1))
  done
  sleep 1
done
ends=$(grep -c "run ends c000000000000001.0.0.0" "$RECORD")
note "$gone of 6 answers are 410, the last: $answer; ends of the task: $ends"
echo "case 10: $gone of 6 answers are 410, the last: $answer; ends of the task: $ends"
[ "$gone" = 0 ] && exit 0
exit 1
