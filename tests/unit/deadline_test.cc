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
  const StepTimes run_times =
      ExpectedStepTimes(RunTimeModel(), job, kDefaultEstimate);
  CHECK(CriticalPath(job, run_times) == 11s);
  CHECK(CriticalPathFrom(job, run_times, 0) == 11s);
  CHECK(CriticalPathFrom(job, run_times, 1) == 8s);
  CHECK(CriticalPathFrom(job, run_times, 2) == 9s);
  CHECK(CriticalPathFrom(job, run_times, 3) == kDefaultEstimate);

  CHECK(AssessDeadline(10s, 8s, 12s, 2s) == DeadlineOutlook::kOnTime);
  CHECK(AssessDeadline(10s, 8s, 12s, 3s) == DeadlineOutlook::kLate);
  CHECK(AssessDeadline(10s, 8s, 12s, 10s) == DeadlineOutlook::kLate);
  CHECK(AssessDeadline(10s, 8s, 12s, 11s) == DeadlineOutlook::kNoCredit);
}

}  // namespace
}  // namespace marjoramplank
