#include "src/jobs/ledger_record.h"

#include <algorithm>

namespace marjoramplank {

std::vector<std::vector<RunRef>> SplitRuns(const std::vector<RunRef>& runs) {
  std::vector<std::vector<RunRef>> out;
  for (auto it = runs.begin(); it != runs.end();) {
    const auto end =
        it + std::min<std::ptrdiff_t>(kMaxRunsOfRecord, runs.end() - it);
    out.emplace_back(it, end);
    it = end;
  }
  return out;
}

JobQueue QueueOf(const JobRequest& request) {
  return {.address = request.address,
          .queue = request.terms.queue,
          .service = request.terms.service};
}

bool DropCheckpoint(LedgerRecord& record) {
  return std::visit(
      [](auto& r) {
        if constexpr (requires { r.checkpoint; }) {
          const bool has_checkpoint = !r.checkpoint.empty();
          r.checkpoint.clear();
          return has_checkpoint;
        }
        return false;
      },
      record);
}

std::string ToString(const WorkerIncarnation& incarnation) {
  return incarnation.id + "@" + std::to_string(incarnation.started_at_unix_ms);
}

const char* ToString(StopCause cause) {
  switch (cause) {
    case StopCause::kReclaim:
      return "reclaim";
    case StopCause::kEvacuated:
      return "moved";
    case StopCause::kStalled:
      return "stalled";
    case StopCause::kMigrated:
      return "migrated";
  }
  return "unknown";
}

const char* ToString(TaskOutcome end) {
  switch (end) {
    case TaskOutcome::kDone:
      return "done";
    case TaskOutcome::kFailed:
      return "failed";
    case TaskOutcome::kStopped:
      return "stopped";
    case TaskOutcome::kLeaseExpired:
      return "lapsed";
    case TaskOutcome::kAborted:
      return "broken";
    case TaskOutcome::kGangTimedOut:
      return "alone";
  }
  return "unknown";
}

}  // namespace marjoramplank
