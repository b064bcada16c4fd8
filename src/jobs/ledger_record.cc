#include "src/jobs/ledger_record.h"

namespace marjoramplank {

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
