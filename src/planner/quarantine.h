#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Evidence that a worker is faulty. A failure is weighted by the success rate
// of the account's jobs, and counted once for each job, so that neither a
// faulty job nor an account whose jobs mostly fail gets healthy workers
// quarantined.
class QuarantineEvidence {
 public:
  // Records a failed task. Returns the total evidence.
  double RecordFailure(const std::string& job, double account_failure_rate);
  // Clears the evidence: a task succeeded on the worker.
  void RecordSuccess();
  // Begins a quarantine and returns its duration, which doubles with each
  // quarantine since the last success.
  Duration BeginQuarantine(Duration base, Duration longest);
  double evidence() const { return evidence_; }

 private:
  double evidence_ = 0;
  // A job that fails on the worker again is not counted again.
  std::string last_failed_job_;
  // Quarantines since the last success.
  std::int32_t consecutive_quarantines_ = 0;
};

}  // namespace marjoramplank
