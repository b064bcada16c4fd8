#include "src/dispatch/deadline.h"

#include <algorithm>

namespace marjoramplank {

StepTimes ExpectedStepTimes(const RunTimeModel& model,
                            const JobRequest& request,
                            Duration default_estimate) {
  StepTimes out(request.steps.size());
  for (std::size_t s = 0; s < out.size(); ++s) {
    out[s] = model.Expected(request, s, default_estimate);
  }
  return out;
}

Duration CriticalPathFrom(const JobRequest& request,
                          const StepTimes& run_times,
                          std::size_t first_step) {
  // Time from the start of `first_step` to the end of each step; negative: the
  // step does not depend on it. Steps depend on earlier ones only.
  std::vector<Duration> end_offsets(request.steps.size(), Duration(-1));
  end_offsets[first_step] = run_times[first_step];
  Duration longest = end_offsets[first_step];
  for (std::size_t s = first_step + 1; s < request.steps.size(); ++s) {
    Duration start(-1);
    for (const std::int32_t dependency : request.steps[s].after) {
      start =
          std::max(start, end_offsets[static_cast<std::size_t>(dependency)]);
    }
    if (start >= Duration(0)) {
      end_offsets[s] = start + run_times[s];
      longest = std::max(longest, end_offsets[s]);
    }
  }
  return longest;
}

Duration CriticalPath(const JobRequest& request, const StepTimes& run_times) {
  Duration longest{0};
  for (std::size_t s = 0; s < request.steps.size(); ++s) {
    if (request.steps[s].after.empty()) {
      longest = std::max(longest, CriticalPathFrom(request, run_times, s));
    }
  }
  return longest;
}

DeadlineOutlook AssessDeadline(Time now,
                               Time due_at,
                               Time deadline,
                               Duration remaining) {
  if (now + remaining <= deadline) {
    return DeadlineOutlook::kOnTime;
  }
  return now + remaining <= due_at + (deadline - due_at) * kLateCreditFactor
             ? DeadlineOutlook::kLate
             : DeadlineOutlook::kNoCredit;
}

}  // namespace marjoramplank
