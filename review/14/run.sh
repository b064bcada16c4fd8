#!/usr/bin/env bash
# Forty scheduled jobs come, each every 5 s for a day. The platform kills a
# process that is above the memory of its machine, and starts it again after a
# short delay. Processes must not end by themselves three times on a tenth of
# the machines (two at least).
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-3.sh"

entries=2
workers=4
jobs=40
times=17280  # A day of every 5 s.
[ "$TROUBLE" != 0 ] || times=8
plain=00000000c0de0001
declare -A kills=()
declare -A peak=()

start_store
for n in $(seq $entries); do
  start_entry "e$n" "z-$n"
done
for n in $(seq $workers); do
  start_agent "a$n" "z-$((n % 3 + 1))"
  start_worker "a$n" "z-$((n % 3 + 1))" "r-$((n % 3 + 1))"
done
await_ready e1
await_ready e2
sleep 4

# The platform's part (memoryMb: 260 for edge, 128 for side): looks once.
watch_memory() {
  local name limit mb
  for name in e1 e2 a1 a2 a3 a4; do
    limit=128
    case $name in e*) limit=260 ;; esac
    mb=$(awk '$1 == "VmRSS:" { print int($2 / 1024) }' "/proc/${pids[$name]}/status" 2>/dev/null)
    [ -n "$mb" ] || continue
    [ "$mb" -le "${peak[$name]:-0}" ] || peak[$name]=$mb
    if [ "$mb" -gt $limit ]; then
      kill_process "$name"
      kills[$name]=$((${kills[$name]:-0} + 1))
      note "$name has $mb MB, above $limit MB: killed, and started again"
      sleep 0.3
      case $name in
        e*) start_entry "$name" "z-${name#e}" ;;
        *) start_agent "$name" "z-$((${name#a} % 3 + 1))" ;;
      esac
    fi
  done
}

first=$(($(now_ms) + 30000))
accepted=0
for n in $(seq $jobs); do
  answer=$(call e1 POST "/batch/$(printf 'a%015x' "$n")" \
    "{\"taskSpec\":\"0:run_ms=500\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimatedMs\":500}],\"repeatCount\":$times,\"firstRunMs\":$first,\"intervalMs\":5000}")
  [ "${answer%% *}" != 200 ] || accepted=$((accepted + 1))
  watch_memory
done
note "accepted $accepted of $jobs scheduled jobs"
call e2 POST "/batch/$plain" '{"taskSpec":"0:run_ms=2000","steps":[{"count":1,"cpu":1000,"memMb":64,"estimatedMs":2000}]}' >/dev/null
end=$(($(now_ms) + 45000))
while [ "$(now_ms)" -lt "$end" ]; do
  watch_memory
  sleep 0.2
done

machines=0
for name in e1 e2 a1 a2 a3 a4; do
  note "$name: at most ${peak[$name]:-0} MB, ended ${kills[$name]:-0} times"
  [ "${kills[$name]:-0}" -lt 3 ] || machines=$((machines + 1))
done
note "machines on which processes ended three times or more: $machines of 6; the plain job is shown as $(state e2 /batch/ $plain)"
grep script "$RECORD" | grep -v 'killed, and' | cut -d' ' -f3-
[ $machines -lt 2 ]
