#include <catch2/catch.hpp>

#include "tests/support/virtual_cluster.h"

namespace marjoramplank::testing {
namespace {

// Workers visited by placement searches per start, on a cluster that is filled
// to nine tenths with small tasks.
double WorkersVisitedPerStart(int workers_per_data_centre) {
  const Inventory inventory = MakeInventory(4, workers_per_data_centre / 10, 10,
                                            8, {{.name = "a"}, {.name = "b"}});
  Planner planner(PlannerOptions{});
  planner.SetInventory(0ms, inventory);
  for (const WorkerSpec& w : inventory.workers) {
    planner.SetWorkerUp(0ms, w.name, true);
  }
  const auto tasks = static_cast<int>(inventory.workers.size()) * 8 * 9 / 10;
  for (int n = 0; n < tasks / 4; ++n) {
    JobSpec spec = MakeJob(n % 2 == 0 ? "a" : "b", 4, n % 3 == 0 ? 1 : 0);
    planner.Submit(0ms, {.job = std::to_string(n), .spec = spec});
    planner.Plan(0ms);
  }
  const PlannerCounters& counts = planner.counters();
  REQUIRE(counts.starts >= static_cast<std::uint64_t>(tasks) / 4 * 9 / 10);
  return static_cast<double>(counts.workers_examined) /
         static_cast<double>(counts.starts);
}

TEST_CASE("The cost of a start grows at most with the logarithm of the workers",
          "[planner][scale]") {
  const double small = WorkersVisitedPerStart(50);
  // 32 times the workers: their logarithm grows by 5 / 7.6.
  const double large = WorkersVisitedPerStart(1600);
  CHECK(large <= small * (1 + 5.0 / 7.6));
}

}  // namespace
}  // namespace marjoramplank::testing
