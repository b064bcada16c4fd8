#pragma once

#include <cstdint>

#include "marjoramplank/time.h"
#include "src/jobs/job_request.h"

namespace marjoramplank {

// Whether a job is expected to meet its deadline, by the estimates of its
// steps. Better outlooks come first.
enum class DeadlineOutlook : std::uint8_t {
  kOnTime,    // Can end by its deadline.
  kLate,      // Can end while a late end still earns credit.
  kNoCredit,  // Too late by the estimates, which may be wrong.
};

// Estimated run time of a task of the step; `default_estimate` if the step has
// none.
Duration RunTimeEstimate(const JobStep& step, Duration default_estimate);

// Length of the critical path that starts with step `first_step`. Steps that do
// not depend on it, directly or not, do not count.
Duration CriticalPathFrom(const JobRequest& request,
                          std::size_t first_step,
                          Duration default_estimate);

// Length of the critical path over all steps.
Duration CriticalPath(const JobRequest& request, Duration default_estimate);

// A late end earns credit until this many times the objective after the due
// time; set by the platform's rules on credit.
inline constexpr int kLateCreditFactor = 3;

// Compares the estimated end, `remaining` from now, with the deadline. The
// objective is the time from `due_at` to `deadline`.
DeadlineOutlook AssessDeadline(Time now,
                               Time due_at,
                               Time deadline,
                               Duration remaining);

}  // namespace marjoramplank
