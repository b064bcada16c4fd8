#pragma once

#include <cstdint>

#include "marjoramplank/time.h"
#include "src/jobs/job_request.h"

namespace marjoramplank {

// What a job can still earn for its caller, by the estimates of its steps.
enum class Chance : std::uint8_t {
  kInTime,  // It can be done within its objective.
  kLate,    // It can be done while a late end still counts.
  kNone,    // Too late by the estimates, which may be wrong.
};

// Run time that is assumed for a task of the step.
Duration EstimateOf(const JobStep& step, Duration unknown);

// Longest chain of estimates over the steps, from `first` on: steps that do not
// depend on it, directly or not, do not count.
Duration ChainFrom(const JobRequest& request,
                   std::size_t first,
                   Duration unknown);

// Longest chain over all steps.
Duration ChainOf(const JobRequest& request, Duration unknown);

// A late end counts until this many times the objective.
inline constexpr int kLateFactor = 3;  // The platform's rules on credit.

Chance ChanceOf(Time now, Time due, Time objective, Duration rest);

}  // namespace marjoramplank
