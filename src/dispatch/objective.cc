#include "src/dispatch/objective.h"

#include <algorithm>
#include <vector>

namespace marjoramplank {

Duration EstimateOf(const JobStep& step, Duration unknown) {
  return step.estimate > Duration(0) ? step.estimate : unknown;
}

Duration ChainFrom(const JobRequest& request,
                   std::size_t first,
                   Duration unknown) {
  // Time from the start of `first` to the end of each step; below 0: the step
  // does not depend on it. Steps depend on earlier ones only.
  std::vector<Duration> end(request.steps.size(), Duration(-1));
  end[first] = EstimateOf(request.steps[first], unknown);
  Duration longest = end[first];
  for (std::size_t s = first + 1; s < request.steps.size(); ++s) {
    Duration start(-1);
    for (const std::int32_t n : request.steps[s].after) {
      start = std::max(start, end[static_cast<std::size_t>(n)]);
    }
    if (start >= Duration(0)) {
      end[s] = start + EstimateOf(request.steps[s], unknown);
      longest = std::max(longest, end[s]);
    }
  }
  return longest;
}

Duration ChainOf(const JobRequest& request, Duration unknown) {
  Duration longest{0};
  for (std::size_t s = 0; s < request.steps.size(); ++s) {
    if (request.steps[s].after.empty()) {
      longest = std::max(longest, ChainFrom(request, s, unknown));
    }
  }
  return longest;
}

Chance ChanceOf(Time now, Time due, Time objective, Duration rest) {
  if (now + rest <= objective) {
    return Chance::kInTime;
  }
  return now + rest <= due + (objective - due) * kLateFactor ? Chance::kLate
                                                             : Chance::kNone;
}

}  // namespace marjoramplank
