#!/usr/bin/env bash
# Black-box tests of the processes under faults: killed and frozen processes, log outages, lost responses, concurrent
# changes. Usage: failures.sh BUILD_DIR
# Prints "N passed, N failed" at the end. Timeouts are the documented bounds of the system plus fixed margins for the
# start of processes; every port is assigned by the operating system.
set -uo pipefail
cd "$(dirname "$0")/../.."
build=$1
source tools/cluster.sh
trap stop_cluster EXIT
passed=0
failed=0
check() { # NAME COMMAND...
  local name=$1; shift
  if "$@"; then passed=$((passed+1)); echo "ok      $name"; else failed=$((failed+1)); echo "FAILED  $name"; fi
}
expect_equal() { [ "$1" = "$2" ] || { echo "   expected '$2', got '$1'"; return 1; }; }
exit_code() { "$@" >/dev/null 2>&1; echo $?; }
set_log_faults() { curl -s -o /dev/null -X POST -d "$1" "http://$log_address/control"; }
set_worker_faults() { curl -s -o /dev/null -X POST -d "$2" "http://$(listen_address "worker-$1" http)/control"; }
# started_tasks [JOB]: prints the task starts that the workers have recorded, of one job or of all, one JSON line each.
started_tasks() { while read -r worker _; do curl -s "http://$(listen_address "worker-$worker" http)/history" | tr '{' '\n' | grep '"event":"started"'; done <"$run_dir/workers" | grep "${1:-}" || true; }
wait_for_starts() { # JOB N: waits up to 15 s until N tasks of the job have started.
  local attempts=0
  until [ "$(started_tasks "$1" | wc -l)" -ge "$2" ]; do sleep 0.1; attempts=$((attempts+1)); [ $attempts -lt 150 ] || { echo "   no $2 starts of $1"; $cli explain "$1"; $cli status; return 1; }; done
}
final_state() { $cli wait "$1" --timeout-ms "${2:-30000}" --json 2>/dev/null | grep -o '"state":"[a-z_]*"' | head -1 | cut -d'"' -f4; }
submit_job() { $cli submit - --json 2>/dev/null | extract_job_id; }

start_log
for n in 1 2 3; do start_entry "entry-$n"; done
http1=$(listen_address entry-1 http); http2=$(listen_address entry-2 http); http3=$(listen_address entry-3 http)
export MARJORAMPLANK_ENTRIES="$http1,$http2,$http3"
rpc_addresses="\"$(listen_address entry-1 rpc)\",\"$(listen_address entry-2 rpc)\",\"$(listen_address entry-3 rpc)\""
printf '%s\n' "w01 zilina" "w02 zilina" "w05 martin" "w06 martin" >"$run_dir/workers"
agent_shutdown_ms=20000 start_workers "$run_dir/workers"
check "an entry reads the log" wait_for_status '"log_visible":true'
check "the first document is published" expect_equal "$(exit_code $cli config apply examples/obchvat.json --author one --wait --force)" 0
check "every worker is up" wait_for_status '"workers_up":2[,}].*"workers_up":2[,}]'

id=$(job_request r1 kraje 2 2 300 | submit_job)
check "a job submitted at one entry returns its result at another" expect_equal "$(MARJORAMPLANK_ENTRIES=$http2 final_state "$id")" done
check "the result is complete and in task order" expect_equal "$(MARJORAMPLANK_ENTRIES=$http3 $cli wait "$id" | grep -c "task [01]: plan:$id:[01]")" 2
check "another body under the same request ID is a conflict" expect_equal "$(job_request r1 kraje 2 1 300 | exit_code $cli submit -)" 4
check "a malformed request is refused" expect_equal "$(echo '{"request_id":' | exit_code $cli submit -)" 2
check "an unknown account is refused" expect_equal "$(job_request r2 nobody 1 1 100 | exit_code $cli submit -)" 2
check "a gang that can never run is refused" expect_equal "$(job_request r3 kraje 64 8 100 | exit_code $cli submit -)" 2
check "an oversized payload is refused" expect_equal "$(echo "{\"request_id\":\"r4\",\"account\":\"kraje\",\"payload\":\"$(head -c 70000 /dev/zero | tr '\0' x)\"}" | exit_code $cli submit -)" 2
check "an unknown job is not found" expect_equal "$(exit_code $cli wait 00000000000000000000000000000000 --timeout-ms 500)" 1
check "an unknown command is refused" expect_equal "$(exit_code $cli frobnicate)" 2
check "faulty settings are refused" expect_equal "$(echo '{"nmae":"x"}' >"$run_dir/bad.json"; exit_code "$build/marjoramplank-entry" --settings "$run_dir/bad.json")" 2

# The planner is killed while a gang runs.
id=$(job_request kill-1 kraje 2 8 4000 | submit_job)
wait_for_starts "$id" 2
planner=$($cli status --json | grep -o '"planned_by":"[^"]*"' | cut -d'"' -f4)
kill -KILL "${pid_of[$planner]}"
check "a gang completes at another entry after its planner is killed" expect_equal "$(final_state "$id")" done
check "each task of that gang started once" expect_equal "$(started_tasks "$id" | wc -l)" 2
start_entry "$planner"
export MARJORAMPLANK_ENTRIES="$(listen_address entry-1 http),$(listen_address entry-2 http),$(listen_address entry-3 http)"
http1=$(listen_address entry-1 http); http2=$(listen_address entry-2 http); http3=$(listen_address entry-3 http)

# The agent of a gang member is frozen for longer than the gang waits for it. The job is not idempotent and may have run
# already, so it must end as may_have_run.
id=$(job_request frozen-1 kraje 2 4 12000 ',"idempotent":false' | submit_job)
wait_for_starts "$id" 2
frozen_worker=$(started_tasks "$id" | head -1 | grep -o '"worker":"[^"]*"' | cut -d'"' -f4)
kill -STOP "${pid_of[agent-${frozen_worker:-w01}]}"
check "a non-idempotent gang with a frozen member ends as may_have_run" expect_equal "$(final_state "$id")" may_have_run
kill -CONT "${pid_of[agent-${frozen_worker:-w01}]}"
check "each task of the gang with a frozen member started once" expect_equal "$(started_tasks "$id" | wc -l)" 2

# The log service is down.
check "every worker is up" wait_for_status '"workers_up":2[,}].*"workers_up":2[,}]'
running_job=$(job_request outage-1 kraje 1 2 6000 | submit_job)
wait_for_starts "$running_job" 1
set_log_faults '{"down":true}'
sleep 1.5
check "a request during a log outage is refused as not run" expect_equal "$(job_request outage-2 kraje 1 1 100 | $cli submit - --json 2>/dev/null | grep -o '"state":"not_run"')" '"state":"not_run"'
check "a configuration change during a log outage is refused" expect_equal "$(exit_code $cli datacentre out martin)" 3
set_log_faults '{"down":false}'
check "a job that ran during the log outage completes after it" expect_equal "$(final_state "$running_job")" done
check "the refused request never started a task" expect_equal "$(started_tasks | grep -c "outage-2")" 0

# The log service stores the records, but its responses are lost.
set_log_faults '{"lose_answers":3}'
id=$(job_request lost-1 kraje 1 1 100 | submit_job)
check "a lost append response is resolved by reading the log" expect_equal "$(final_state "$id")" done
check "the job of the lost append response ran once" expect_equal "$(started_tasks "$id" | wc -l)" 1

# Three operators publish concurrently against the same base version.
version=$(curl -s "http://$http1/v1/config" | grep -o '"version":[0-9]*' | cut -d: -f2)
document=$(sed 's/\\/\\\\/g; s/"/\\"/g' examples/obchvat.json | tr -d '\n')
for n in 1 2 3; do
  http=http$n
  curl -s -o /dev/null -w '%{http_code}\n' -X POST -d "{\"base_version\":$version,\"author\":\"op$n\",\"document\":\"$document\",\"allow_unmet_guarantees\":true}" "http://${!http}/v1/config" >"$run_dir/race$n" &
done
wait %1 %2 %3 2>/dev/null; sleep 1
check "one of three concurrent changes is accepted" expect_equal "$(cat "$run_dir"/race? | grep -c 200)" 1
check "the other two are refused as conflicts" expect_equal "$(cat "$run_dir"/race? | grep -c 409)" 2

# A data centre is taken out of service under load.
for n in $(seq 12); do job_request "load-$n" obce 1 2 700 | $cli submit - >/dev/null; done
check "a data centre is taken out of service everywhere" expect_equal "$(exit_code $cli datacentre out martin --wait)" 0
sleep 3
starts_before=$(started_tasks | grep -cE '"worker":"w0[56]"')
for n in $(seq 12); do job_request "after-$n" obce 1 2 300 | $cli submit - >/dev/null; done
sleep 2
check "no task starts in a data centre out of service" expect_equal "$(started_tasks | grep -cE '"worker":"w0[56]"')" "$starts_before"
check "the data centre is returned to service" expect_equal "$(exit_code $cli datacentre in martin --wait)" 0

# Graceful shutdown of an entry and of an agent.
id=$(job_request wait-1 kraje 1 1 2500 | submit_job)
(MARJORAMPLANK_ENTRIES="$http1,$http2,$http3" final_state "$id" >"$run_dir/waited") &
client_pid=$!
sleep 0.5
kill -TERM "${pid_of[entry-1]}"
wait $client_pid
check "a client waiting at an entry that shuts down gets its result" expect_equal "$(cat "$run_dir/waited")" done
for _ in $(seq 50); do kill -0 "${pid_of[entry-1]}" 2>/dev/null || break; sleep 0.1; done
check "the entry exits after its shutdown" expect_equal "$(kill -0 "${pid_of[entry-1]}" 2>/dev/null; echo $?)" 1
check "the entry logs that every request is answered" expect_equal "$(grep -c 'every request is answered' "$run_dir/entry-1")" 1
export MARJORAMPLANK_ENTRIES="$http2,$http3"

id=$(job_request leave-1 mesta 4 4 3000 ',"adjacency":"region"' | submit_job)
wait_for_starts "$id" 4
draining_worker=$(started_tasks "$id" | head -1 | grep -o '"worker":"[^"]*"' | cut -d'"' -f4)
kill -TERM "${pid_of[agent-${draining_worker:-w01}]}"
sleep 1.5
starts_before=$(started_tasks | grep -c "\"worker\":\"$draining_worker\"")
for n in $(seq 8); do job_request "leave-b-$n" obce 1 1 200 | $cli submit - >/dev/null; done
check "a gang on a draining worker completes" expect_equal "$(final_state "$id")" done
check "a draining worker gets no new task" expect_equal "$(started_tasks | grep -c "\"worker\":\"$draining_worker\"")" "$starts_before"

# All remaining entries are replaced one after another while a gang runs.
id=$(job_request replace-1 kraje 2 2 9000 | submit_job)
for n in 2 3; do
  kill -KILL "${pid_of[entry-$n]}"
  start_entry "entry-$n"
  sleep 3
done
export MARJORAMPLANK_ENTRIES="$(listen_address entry-2 http),$(listen_address entry-3 http)"
check "a job survives the replacement of every entry" expect_equal "$(final_state "$id" 40000)" done

for command in "status" "config show" "config history" "config diff examples/obchvat.json" "jobs kraje" "explain $id" "trace $id" "worker cordon w01" "worker uncordon w01"; do
  check "marjoramplank $command" expect_equal "$(exit_code $cli $command)" 0
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
