#pragma once

#include <unordered_map>

#include "src/dispatch/deadline.h"
#include "src/jobs/ledger.h"

namespace marjoramplank {

// Expected run times of the jobs that a plan considers: the model is asked once
// for each step, however many units wait or run.
class StepTimeCache {
 public:
  // The model must outlive the cache and must not change.
  StepTimeCache(const RunTimeModel& model, Duration default_estimate)
      : model_(model), default_estimate_(default_estimate) {}

  // The job must not have ended. Valid as long as the cache.
  const StepTimes& Of(const LedgerJob& job) {
    const auto [it, is_new] = run_times_.try_emplace(&job);
    if (is_new) {
      it->second = ExpectedStepTimes(model_, job.request, default_estimate_);
    }
    return it->second;
  }

 private:
  const RunTimeModel& model_;
  const Duration default_estimate_;
  std::unordered_map<const LedgerJob*, StepTimes> run_times_;
};

}  // namespace marjoramplank
