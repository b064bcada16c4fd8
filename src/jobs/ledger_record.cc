#include "src/jobs/ledger_record.h"

namespace marjoramplank {

std::string ToString(const WorkerLife& incarnation) {
  return incarnation.id + "@" + std::to_string(incarnation.born_ms);
}

const char* ToString(StopCause cause) {
  switch (cause) {
    case StopCause::kReclaim:
      return "reclaim";
    case StopCause::kEvacuated:
      return "moved";
    case StopCause::kStalled:
      return "stalled";
  }
  return "unknown";
}

const char* ToString(TaskEnd end) {
  switch (end) {
    case TaskEnd::kDone:
      return "done";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kStopped:
      return "stopped";
    case TaskEnd::kLeaseExpired:
      return "lapsed";
    case TaskEnd::kAborted:
      return "broken";
    case TaskEnd::kGangTimedOut:
      return "alone";
  }
  return "unknown";
}

}  // namespace marjoramplank
