// Compares the planning policy with simple baselines in virtual time.
//   policy_bench [obchvat|hangyeol|region SCALE] [SEED]

#include <cstdlib>
#include <iomanip>
#include <iostream>

#include "bench/policy/simulation.h"

namespace marjoramplank::bench {
namespace {

void Print(const std::vector<PolicyMetrics>& all) {
  const auto row = [&](const char* name, auto get, int digits) {
    std::cout << std::left << std::setw(26) << name << std::right;
    for (const PolicyMetrics& f : all) {
      std::cout << std::setw(16) << std::fixed << std::setprecision(digits)
                << get(f);
    }
    std::cout << "\n";
  };
  std::cout << std::left << std::setw(26) << "" << std::right;
  for (const PolicyMetrics& f : all) {
    std::cout << std::setw(16) << f.policy;
  }
  std::cout << "\n";
  row(
      "done", [](const PolicyMetrics& f) { return f.jobs_done; }, 0);
  row(
      "not done", [](const PolicyMetrics& f) { return f.jobs_not_done; }, 0);
  row(
      "completion mean s",
      [](const PolicyMetrics& f) { return f.completion_mean_s; }, 0);
  row(
      "completion p50 s",
      [](const PolicyMetrics& f) { return f.completion_p50_s; }, 0);
  row(
      "completion p95 s",
      [](const PolicyMetrics& f) { return f.completion_p95_s; }, 0);
  row(
      "completion p99 s",
      [](const PolicyMetrics& f) { return f.completion_p99_s; }, 0);
  row(
      "slowdown, one task",
      [](const PolicyMetrics& f) { return f.slowdown_small; }, 2);
  row(
      "slowdown, large gangs",
      [](const PolicyMetrics& f) { return f.slowdown_large; }, 2);
  row(
      "large gangs' wait p99 s",
      [](const PolicyMetrics& f) { return f.large_wait_p99_s; }, 0);
  row(
      "longest wait s", [](const PolicyMetrics& f) { return f.wait_max_s; }, 0);
  row(
      "longest urgent wait s",
      [](const PolicyMetrics& f) { return f.urgent_wait_max_s; }, 1);
  row(
      "fragmentation", [](const PolicyMetrics& f) { return f.fragmentation; },
      3);
  row(
      "utilisation", [](const PolicyMetrics& f) { return f.utilisation; }, 3);
  row(
      "work during absence",
      [](const PolicyMetrics& f) { return f.absence_work_share; }, 3);
  row(
      "work in hour after",
      [](const PolicyMetrics& f) { return f.after_return_work_share; }, 3);
  row(
      "work lost", [](const PolicyMetrics& f) { return f.lost_work_share; }, 4);
  row(
      "runs stopped", [](const PolicyMetrics& f) { return f.runs_stopped; }, 0);
  row(
      "guarantees claimed",
      [](const PolicyMetrics& f) { return f.guaranteed_jobs; }, 0);
  row(
      "longest reclaim s",
      [](const PolicyMetrics& f) { return f.guaranteed_wait_max_s; }, 1);
  row(
      "guarantee violations",
      [](const PolicyMetrics& f) { return f.guarantee_violations; }, 0);
  row(
      "makespan s", [](const PolicyMetrics& f) { return f.makespan_s; }, 0);
  row(
      "lower bound s", [](const PolicyMetrics& f) { return f.lower_bound_s; },
      0);
}

}  // namespace
}  // namespace marjoramplank::bench

int main(int argc, char** argv) {
  using namespace marjoramplank;
  using namespace marjoramplank::bench;
  const std::string workload_name = argc > 1 ? argv[1] : "obchvat";
  const bool region = workload_name == "region";
  const double scale = region && argc > 2 ? std::atof(argv[2]) : 0.1;
  const int seed_argument = region ? 3 : 2;
  const std::uint64_t seed =
      argc > seed_argument ? std::strtoull(argv[seed_argument], nullptr, 10)
                           : 1;
  const Workload workload = workload_name == "hangyeol" ? HangyeolWorkload(seed)
                            : region ? RegionWorkload(seed, scale)
                                     : ObchvatWorkload(seed);
  std::cout << workload.name << ", seed " << seed << ": "
            << workload.jobs.size() << " jobs, "
            << workload.inventory.workers.size() << " workers\n";
  std::vector<PolicyMetrics> all;
  all.push_back(Simulate(workload, Planner(PlannerOptions{}), "planner"));
  all.push_back(Simulate(workload, FirstFit(false), "first fit"));
  if (!region) {
    all.push_back(Simulate(workload, FirstFit(true), "partitioned"));
  }
  Print(all);
  return 0;
}
