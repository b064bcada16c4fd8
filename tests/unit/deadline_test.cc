#include "src/dispatch/deadline.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("critical paths and deadlines of jobs", "[objective]") {
  constexpr Duration kDefaultEstimate = 5s;
  // Dependencies: 0 (2 s) -> 2 (4 s) -> 3 (no estimate), and 1 (3 s) -> 3.
  const JobRequest job{.steps = {{.estimate = 2s},
                                 {.estimate = 3s},
                                 {.estimate = 4s, .after = {0}},
                                 {.after = {1, 2}}}};
  CHECK(CriticalPath(job, kDefaultEstimate) == 11s);
  CHECK(CriticalPathFrom(job, 0, kDefaultEstimate) == 11s);
  CHECK(CriticalPathFrom(job, 1, kDefaultEstimate) == 8s);
  CHECK(CriticalPathFrom(job, 2, kDefaultEstimate) == 9s);
  CHECK(CriticalPathFrom(job, 3, kDefaultEstimate) == kDefaultEstimate);

  CHECK(AssessDeadline(10s, 8s, 12s, 2s) == DeadlineOutlook::kOnTime);
  CHECK(AssessDeadline(10s, 8s, 12s, 3s) == DeadlineOutlook::kLate);
  CHECK(AssessDeadline(10s, 8s, 12s, 10s) == DeadlineOutlook::kLate);
  CHECK(AssessDeadline(10s, 8s, 12s, 11s) == DeadlineOutlook::kNoCredit);
}

}  // namespace
}  // namespace marjoramplank
