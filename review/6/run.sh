#!/usr/bin/env bash
# Three workers crash in turn while they run the same task, and come back. The
# job must not be shown as failed, as no run has ended `failed`.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 7
start_all

JOB=5c0e7a21d94b36f8
TASK=$JOB.0.0.0
answer=$(call POST 1 "/q/$JOB" '{"taskSpec":"0:run_ms=12000","steps":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimatedMs":12000}]}')
[ "${answer%% *}" = 200 ] || could_not_run "the job is not accepted: $answer"

# crash_and_return N: the worker's process dies and is back under another id 3.5 s later.
crash_and_return() {
  note "worker i-$1 crashes"
  end_process "worker-$1" KILL
  RETURNS="$RETURNS $(($(now_ms) + 3500)):$1"
}
return_due() {
  local left="" entry
  for entry in $RETURNS; do
    if [ "$(now_ms)" -ge "${entry%%:*}" ]; then
      note "worker ${entry##*:} is back as i-${entry##*:}-2"
      start_worker "${entry##*:}" "i-${entry##*:}-2"
    else
      left="$left $entry"
    fi
  done
  RETURNS=$left
}
RETURNS=""
for crash in 1 2 3; do
  await_start "$TASK" "$crash" 15 || { note "start $crash has not come"; break; }
  sleep 0.8
  worker=$(starts_of "$TASK" | tail -1 | cut -d' ' -f2)
  if [ "$TROUBLE" != 0 ]; then crash_and_return "$(echo "${worker#i-}" | cut -d- -f1)"; else break; fi
  return_due
done

end=$(($(now_ms) + 40000))
verdict=2
while [ "$(now_ms)" -lt "$end" ]; do
  return_due
  answer=$(call GET 1 "/q/$JOB")
  case $answer in
    *failed*) verdict=1; break ;;
    *completed*) verdict=0; break ;;
  esac
  sleep 0.5
done
failed_ends=$(grep -c "run ends $TASK run [0-9]* failed" "$RECORD")
note "starts: $(starts_of "$TASK" | wc -l), ends failed: $failed_ends, last answer: $answer"
[ "$verdict" = 1 ] && [ "$failed_ends" -ge 2 ] && verdict=0  # maxAttempts is 2.
echo "case 6: verdict $verdict, starts $(starts_of "$TASK" | wc -l), ends failed $failed_ends, state $answer"
exit $verdict
