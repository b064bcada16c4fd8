#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "marjoramplank/time.h"
#include "src/jobs/job_request.h"
#include "src/run_times/run_time_model.h"

namespace marjoramplank {

// Whether a job is expected to meet its deadline, by the estimates of its
// steps. Better outlooks come first.
enum class DeadlineOutlook : std::uint8_t {
  kOnTime,    // Can end by its deadline.
  kLate,      // Can end while a late end still earns credit.
  kNoCredit,  // Too late by the estimates, which may be wrong.
};

// Expected run time of a task of each step of a job, on a machine of usual
// speed near the step's data.
using StepTimes = std::vector<Duration>;

// `default_estimate`: for steps without a learned or declared run time.
StepTimes ExpectedStepTimes(const RunTimeModel& model,
                            const JobRequest& request,
                            Duration default_estimate);

// Length of the critical path that starts with step `first_step`. Steps that do
// not depend on it, directly or not, do not count.
Duration CriticalPathFrom(const JobRequest& request,
                          const StepTimes& run_times,
                          std::size_t first_step);

// Length of the critical path over all steps.
Duration CriticalPath(const JobRequest& request, const StepTimes& run_times);

// A late end earns credit until this many times the objective after the due
// time; set by the platform's rules on credit.
inline constexpr int kLateCreditFactor = 3;

inline Duration ScaledBy(double factor, Duration d) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(d.count()) * factor));
}

// Compares the estimated end, `remaining` from now, with the deadline. The
// objective is the time from `due_at` to `deadline`.
DeadlineOutlook AssessDeadline(Time now,
                               Time due_at,
                               Time deadline,
                               Duration remaining);

}  // namespace marjoramplank
