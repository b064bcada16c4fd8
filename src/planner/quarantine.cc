#include "src/planner/quarantine.h"

#include <algorithm>

namespace marjoramplank {

double QuarantineEvidence::RecordFailure(const std::string& job,
                                         double account_failure_rate) {
  if (job != last_failed_job_) {
    evidence_ += 1.0 - std::clamp(account_failure_rate, 0.0, 1.0);
    last_failed_job_ = job;
  }
  return evidence_;
}

void QuarantineEvidence::RecordSuccess() {
  evidence_ = 0;
  consecutive_quarantines_ = 0;
  last_failed_job_.clear();
}

Duration QuarantineEvidence::BeginQuarantine(Duration base, Duration longest) {
  constexpr std::int32_t kMaxDoublings = 20;
  const std::int32_t doublings =
      std::min(consecutive_quarantines_++, kMaxDoublings);
  evidence_ = 0;
  last_failed_job_.clear();
  return std::min(base * (std::int64_t{1} << doublings), longest);
}

}  // namespace marjoramplank
