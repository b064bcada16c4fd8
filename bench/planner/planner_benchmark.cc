// Cost of the planner's operations at three cluster sizes, to show how it grows
// with the size.

#include <benchmark/benchmark.h>

#include <string>

#include "marjoramplank/planner.h"

namespace marjoramplank {
namespace {

constexpr std::int64_t kFullScaleWorkers = 19'000;
constexpr std::int64_t kFullScaleTasks = 350'000;

Inventory MakeInventory(std::int64_t workers) {
  Inventory out;
  const std::int64_t dcs = workers < 100 ? 3 : 11;
  for (std::int64_t d = 0; d < dcs; ++d) {
    out.data_centres.push_back(
        {.name = "dc" + std::to_string(d), .region = "r"});
  }
  for (std::int64_t n = 0; n < workers; ++n) {
    const std::int64_t dc = n * dcs / workers;
    out.workers.push_back(
        {.name = "w" + std::to_string(n),
         .rack = "rack" + std::to_string(n / 10) + "-" + std::to_string(dc),
         .data_centre = "dc" + std::to_string(dc),
         .cores = 64,
         .memory_mb = 262'144,
         .accelerators = n % 10 < 3 ? 8 : 0,
         .slots = 32});
  }
  const std::int64_t account_count =
      std::max<std::int64_t>(4, 470 * workers / kFullScaleWorkers);
  for (std::int64_t t = 0; t < account_count; ++t) {
    out.accounts.push_back({.name = "team" + std::to_string(t)});
    if (workers >= 100) {
      out.accounts.back().guarantees = {{.accelerators = 8, .count = 2}};
    }
  }
  return out;
}

JobSpec MakeSpec(std::int64_t n,
                 std::int64_t account_count,
                 std::int32_t tasks) {
  return {.request_id = std::to_string(n),
          .account = "team" + std::to_string(n % account_count),
          .tasks = tasks,
          .shape = {.cores = 1,
                    .memory_mb = 1024,
                    .accelerators = n % 8 == 0 ? 1 : 0},
          .checkpointable = true,
          .expected_run_time = 3h};
}

// A planner with running tasks in proportion to the number of workers.
struct FilledPlanner {
  Planner planner{PlannerOptions{}};
  Inventory inventory;
  std::int64_t next_job = 0;
  std::int64_t account_count = 0;
  std::vector<std::string> running_jobs;
  Time now{0};

  explicit FilledPlanner(std::int64_t workers)
      : inventory(MakeInventory(workers)) {
    account_count = static_cast<std::int64_t>(inventory.accounts.size());
    planner.SetInventory(now, inventory);
    for (const WorkerSpec& w : inventory.workers) {
      planner.SetWorkerUp(now, w.name, true);
    }
    planner.Plan(now);
    const std::int64_t tasks = kFullScaleTasks * workers / kFullScaleWorkers;
    for (std::int64_t placed = 0; placed < tasks; placed += 20) {
      StartJob(20);
    }
  }

  // Submits a job, plans, and reports started jobs as running.
  void StartJob(std::int32_t tasks) {
    const std::string id = "j" + std::to_string(next_job);
    planner.Submit(
        now, {.job = id, .spec = MakeSpec(next_job++, account_count, tasks)});
    for (const Decision& d : planner.Plan(now)) {
      if (const StartGang* start = std::get_if<StartGang>(&d)) {
        planner.OnStarted(now, start->job);
        running_jobs.push_back(start->job);
      }
    }
  }
};

void DecisionBenchmark(benchmark::State& state) {
  FilledPlanner filled(state.range(0));
  for (auto _ : state) {
    filled.StartJob(1);
    if (!filled.running_jobs.empty()) {
      filled.planner.OnEnded(filled.now, filled.running_jobs.back(), {});
      filled.running_jobs.pop_back();
    }
  }
  state.counters["tasks"] = static_cast<double>(kFullScaleTasks) *
                            static_cast<double>(state.range(0)) /
                            kFullScaleWorkers;
  const PlannerCounters& c = filled.planner.counters();
  state.counters["workers_examined_per_start"] =
      static_cast<double>(c.workers_examined) /
      static_cast<double>(std::max<std::uint64_t>(c.starts, 1));
}
BENCHMARK(DecisionBenchmark)
    ->Arg(11)
    ->Arg(1'900)
    ->Arg(19'000)
    ->Unit(benchmark::kMicrosecond);

void CancelBenchmark(benchmark::State& state) {
  FilledPlanner filled(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    for (int i = 0; i < 1000; ++i) {
      JobSpec spec = MakeSpec(filled.next_job, filled.account_count, 64);
      spec.shape.accelerators = 8;  // Too large to start: the job waits.
      filled.planner.Submit(filled.now,
                            {.job = "c" + std::to_string(i), .spec = spec});
    }
    filled.planner.Plan(filled.now);
    state.ResumeTiming();
    for (int i = 0; i < 1000; ++i) {
      filled.planner.Cancel(filled.now, "c" + std::to_string(i));
    }
    benchmark::DoNotOptimize(filled.planner.Plan(filled.now));
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
BENCHMARK(CancelBenchmark)
    ->Arg(11)
    ->Arg(1'900)
    ->Arg(19'000)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(5);

void RebuildBenchmark(benchmark::State& state) {
  const Inventory inventory = MakeInventory(state.range(0));
  const std::int64_t jobs =
      kFullScaleTasks * state.range(0) / kFullScaleWorkers / 20;
  const auto account_count =
      static_cast<std::int64_t>(inventory.accounts.size());
  for (auto _ : state) {
    Planner planner(PlannerOptions{});
    planner.SetInventory(0ms, inventory);
    for (const WorkerSpec& w : inventory.workers) {
      planner.SetWorkerUp(0ms, w.name, true);
    }
    for (std::int64_t n = 0; n < jobs; ++n) {
      std::vector<TaskPlacement> placements;
      placements.reserve(20);
      for (std::int32_t t = 0; t < 20; ++t) {
        placements.push_back({.task = t,
                              .worker = inventory
                                            .workers[static_cast<std::size_t>(
                                                (n * 20 + t) % state.range(0))]
                                            .name});
      }
      JobSpec spec = MakeSpec(n, account_count, 20);
      spec.shape.accelerators = 0;
      planner.AdoptRun(0ms,
                       {.job = std::to_string(n), .spec = spec, .attempts = 1},
                       placements);
    }
    benchmark::DoNotOptimize(planner.Plan(0ms));
  }
}
BENCHMARK(RebuildBenchmark)
    ->Arg(11)
    ->Arg(1'900)
    ->Arg(19'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(2);

void ConfigChangeBenchmark(benchmark::State& state) {
  FilledPlanner filled(state.range(0));
  for (auto _ : state) {
    filled.inventory.workers[0].cordoned =
        !filled.inventory.workers[0].cordoned;
    filled.planner.SetInventory(filled.now, filled.inventory);
    benchmark::DoNotOptimize(filled.planner.Plan(filled.now));
  }
}
BENCHMARK(ConfigChangeBenchmark)
    ->Arg(11)
    ->Arg(1'900)
    ->Arg(19'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(3);

}  // namespace
}  // namespace marjoramplank

BENCHMARK_MAIN();
