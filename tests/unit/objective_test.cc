#include "src/dispatch/objective.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("objectives of jobs of steps", "[objective]") {
  constexpr Duration kUnknown = 5s;
  // 0 (2 s) -> 2 (4 s) -> 3 (unknown); 1 (3 s) stands alone.
  const JobRequest job{.steps = {{.estimate = 2s},
                                 {.estimate = 3s},
                                 {.estimate = 4s, .after = {0}},
                                 {.after = {1, 2}}}};
  CHECK(ChainOf(job, kUnknown) == 11s);
  CHECK(ChainFrom(job, 0, kUnknown) == 11s);
  CHECK(ChainFrom(job, 1, kUnknown) == 8s);
  CHECK(ChainFrom(job, 2, kUnknown) == 9s);
  CHECK(ChainFrom(job, 3, kUnknown) == kUnknown);

  CHECK(ChanceOf(10s, 8s, 12s, 2s) == Chance::kInTime);
  CHECK(ChanceOf(10s, 8s, 12s, 3s) == Chance::kLate);
  CHECK(ChanceOf(10s, 8s, 12s, 10s) == Chance::kLate);
  CHECK(ChanceOf(10s, 8s, 12s, 11s) == Chance::kNone);
}

}  // namespace
}  // namespace marjoramplank
