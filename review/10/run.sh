#!/usr/bin/env bash
# Scheduled jobs come, each every 5 s for a day. The platform kills a process
# above the memory of its machine (memoryMb: 260 for edge, 128 for side) and
# starts it again. Processes must not end by themselves three times on a tenth
# of the machines (two at least).
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
begin "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" 2 4
start_all

declare -A KILLS=()
rss_mb() { awk '$1 == "VmRSS:" { print int($2 / 1024) }' "/proc/$1/status" 2>/dev/null; }
# The platform's part: looks at each process once.
watch_memory() {
  local n name limit mb
  for name in entry-1 entry-2 agent-1 agent-2 agent-3 agent-4; do
    limit=128
    case $name in entry-*) limit=260 ;; esac
    mb=$(rss_mb "${PIDS[$name]}")
    [ -n "$mb" ] || continue
    [ "$mb" -gt "${PEAK[$name]:-0}" ] && PEAK[$name]=$mb
    if [ "$mb" -gt "$limit" ]; then
      end_process "$name" KILL
      KILLS[$name]=$((${KILLS[$name]:-0} + 1))
      note "$name has $mb MB, above $limit MB: killed, and started again"
      sleep 0.3
      n=${name#*-}
      case $name in entry-*) start_entry "$n" ;; *) start_agent "$n" ;; esac
    fi
  done
}
declare -A PEAK=()
times=17280
[ "$TROUBLE" = 0 ] && times=8
first=$(($(now_ms) + 30000))
accepted=0
for n in $(seq 1 40); do
  answer=$(call POST 1 "/q/$(printf 'a%015x' "$n")" '{"taskSpec":"0:run_ms=500","steps":[{"count":1,"cpu":500,"memMb":64,"estimatedMs":500}],"repeatCount":'$times',"firstRunMs":'$first',"intervalMs":5000}')
  [ "${answer%% *}" = 200 ] && accepted=$((accepted + 1))
  watch_memory
done
note "accepted $accepted of 40 scheduled jobs"
answer=$(call POST 2 /q/c000000000000001 '{"taskSpec":"0:run_ms=2000","steps":[{"count":1,"cpu":1000,"memMb":64,"estimatedMs":2000}]}')
note "a plain job: $answer"
end=$(($(now_ms) + 60000))
while [ "$(now_ms)" -lt "$end" ]; do
  watch_memory
  sleep 0.2
done
machines=0
for name in "${!KILLS[@]}"; do
  note "$name was over its memory ${KILLS[$name]} times"
  [ "${KILLS[$name]}" -ge 3 ] && machines=$((machines + 1))
done
peaks=""
for name in "${!PEAK[@]}"; do peaks="$peaks $name=${PEAK[$name]}"; done
state=$(call GET 2 /q/c000000000000001)
note "peaks in MB:$peaks; the plain job: $state"
echo "case 10: machines with three ends or more: $machines of 6; peaks in MB:$peaks; kills: ${KILLS[*]:-none}; the plain job: $state, starts $(starts_of c000000000000001.0.0.0 | wc -l); starts of scheduled tasks: $(grep -c 'run starts a0' "$RECORD")"
[ "$machines" -ge 2 ] && exit 1
exit 0
