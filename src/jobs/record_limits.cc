#include "src/jobs/record_limits.h"

#include <algorithm>

namespace marjoramplank {

namespace {

bool IsInRange(std::int64_t n, std::int64_t min, std::int64_t max) {
  return n >= min && n <= max;
}

bool Check(const WorkerIncarnation& incarnation) {
  return IsInRange(incarnation.started_at_unix_ms, 0, kMaxUnixMs);
}

bool Check(const AgentStatement& s) {
  return IsInRange(s.number, 0, kMaxCounter);
}

bool Check(const TaskRef& task) {
  return task.occurrence >= 0 && task.step >= 0 && task.index >= 0;
}

bool Check(const JobSubmitted& r) {
  return CheckJobRequest(r.request).empty();
}
bool Check(const JobCancelled&) {
  return true;
}
bool Check(const AgentHeartbeat& r) {
  return Check(r.heard_worker) && r.heard_ago <= kMaxDuration &&
         IsInRange(r.process_number, 0, kMaxProcessNumber) &&
         r.uptime <= kMaxDuration;
}
bool Check(const EntryStarted&) {
  return true;
}
bool Check(const WorkerReported& r) {
  return Check(r.incarnation) && Check(r.statement) &&
         IsWithinLimits(r.capacity) &&
         IsInRange(r.leaves_in_ms, 0, kMaxDuration.count());
}
bool Check(const std::vector<RunRef>& runs) {
  return std::all_of(runs.begin(), runs.end(),
                     [](const RunRef& run) { return Check(run.task); });
}
bool Check(const WorkerEmptied& r) {
  return Check(r.incarnation) && Check(r.statement) &&
         IsInRange(r.epoch, 0, kMaxCounter) && Check(r.suspects) &&
         Check(r.runs);
}
bool Check(const PlannerElected& r) {
  return IsInRange(r.epoch, 0, kMaxCounter);
}
bool Check(const PlannerResigned& r) {
  return IsInRange(r.epoch, 0, kMaxCounter);
}
bool Check(const RunStarted& r) {
  return IsInRange(r.epoch, 0, kMaxCounter) && Check(r.first) &&
         std::all_of(r.members.begin(), r.members.end(),
                     [](const MemberPlace& m) {
                       return m.index >= 0 && Check(m.incarnation);
                     });
}
bool Check(const RunStopped& r) {
  return IsInRange(r.epoch, 0, kMaxCounter) && Check(r.first);
}
bool Check(const TaskEnded& r) {
  return Check(r.incarnation) && Check(r.task) &&
         IsInRange(r.end_number, 0, kMaxEndNumber);
}
bool Check(const StartRefused& r) {
  return Check(r.incarnation) && Check(r.task);
}
bool Check(const RunObserved& r) {
  return Check(r.incarnation) && Check(r.task);
}

bool Check(const StartUnanswered& r) {
  return Check(r.incarnation) && Check(r.task);
}

bool Check(const StartsExpired& r) {
  return IsInRange(r.epoch, 0, kMaxCounter) && Check(r.statement) &&
         Check(r.runs);
}

bool Check(const QueueChanged& r) {
  return IsInRange(r.epoch, 0, kMaxCounter) &&
         IsInRange(r.rules_version, 0, kMaxCounter);
}

}  // namespace

bool IsWithinLimits(const LedgerRecord& record) {
  return std::visit([](const auto& r) { return Check(r); }, record);
}

}  // namespace marjoramplank
