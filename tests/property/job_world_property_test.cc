#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <string>

#include "tests/support/job_world.h"

namespace marjoramplank {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) {
    out += line + "\n";
  }
  return out;
}

TEST_CASE("jobs of steps in virtual time", "[jobs][protocol]") {
  SECTION("a calm day completes every job") {
    JobWorld world({.seed = 7});
    const std::string broken = Join(world.Play());
    INFO(broken);
    CHECK(broken.empty());
    CHECK(world.completed() == 12);
  }

  rc::prop("no rule breaks under any mix of faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto some = [](double most) {
      return *rc::gen::map(rc::gen::inRange(0, 4),
                           [most](int n) { return n * most / 3; });
    };
    JobWorld world({.seed = seed,
                    .late_orders = some(0.2),
                    .lost_answers = some(0.2),
                    .agent_restarts = some(0.5),
                    .worker_crashes = some(0.3),
                    .planner_changes = some(0.5),
                    .cancels = some(0.3),
                    .failures = some(0.1),
                    .agent_cuts = some(0.3),
                    .closures = some(0.1)});
    const std::string broken = Join(world.Play());
    RC_LOG() << "seed " << seed << "\n" << broken;
    RC_ASSERT(broken.empty());
  });

  rc::prop("a guarantee is there in time, however full the workers are", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const int jobs = *rc::gen::inRange(12, 60);
    JobWorld world({.seed = seed,
                    .workers = 2,
                    .jobs = jobs,
                    .longest_task = 12s,
                    .check_reclaim = true});
    const std::string broken = Join(world.Play());
    RC_LOG() << "seed " << seed << ", " << jobs << " jobs\n" << broken;
    RC_ASSERT(broken.find("guarantee") == std::string::npos);
  });

  SECTION("the checks fail when late orders are not settled") {
    bool seen = false;
    for (std::uint32_t seed = 1; seed <= 20 && !seen; ++seed) {
      JobWorld world(
          {.seed = seed, .late_orders = 0.3, .cancels = 0.3, .settle = false});
      seen = !world.Play().empty();
    }
    CHECK(seen);
  }
}

}  // namespace
}  // namespace marjoramplank
