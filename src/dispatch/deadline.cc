#include "src/dispatch/deadline.h"

#include <algorithm>
#include <vector>

namespace marjoramplank {

Duration RunTimeEstimate(const JobStep& step, Duration default_estimate) {
  return step.estimate > Duration(0) ? step.estimate : default_estimate;
}

Duration CriticalPathFrom(const JobRequest& request,
                          std::size_t first_step,
                          Duration default_estimate) {
  // Time from the start of `first_step` to the end of each step; negative: the
  // step does not depend on it. Steps depend on earlier ones only.
  std::vector<Duration> end_offsets(request.steps.size(), Duration(-1));
  end_offsets[first_step] =
      RunTimeEstimate(request.steps[first_step], default_estimate);
  Duration longest = end_offsets[first_step];
  for (std::size_t s = first_step + 1; s < request.steps.size(); ++s) {
    Duration start(-1);
    for (const std::int32_t dependency : request.steps[s].after) {
      start =
          std::max(start, end_offsets[static_cast<std::size_t>(dependency)]);
    }
    if (start >= Duration(0)) {
      end_offsets[s] =
          start + RunTimeEstimate(request.steps[s], default_estimate);
      longest = std::max(longest, end_offsets[s]);
    }
  }
  return longest;
}

Duration CriticalPath(const JobRequest& request, Duration default_estimate) {
  Duration longest{0};
  for (std::size_t s = 0; s < request.steps.size(); ++s) {
    if (request.steps[s].after.empty()) {
      longest =
          std::max(longest, CriticalPathFrom(request, s, default_estimate));
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
