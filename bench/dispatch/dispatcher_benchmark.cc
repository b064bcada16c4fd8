// Time of one plan of the dispatcher when every worker is full, by the number
// of workers and of waiting units, with and without learned run times.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr int kWorkersPerRack = 12;
constexpr std::int32_t kTasksPerSheet = 80;
constexpr std::int32_t kTasksPerCheck = 8;
// Every third machine is slow.
constexpr int kMachinesPerSlowOne = 3;
constexpr double kSlowness = 2.2;
constexpr int kTrainingJobs = 4;
constexpr Duration kRunTime = 7s;

WorkerIncarnation MakeIncarnation(int n) {
  return {.id = "i-" + std::to_string(100'000 + n), .started_at_unix_ms = 1};
}

JobRequest MakeJob(int n, std::int32_t priority, const JobStep& step) {
  return {.id = "job-" + std::to_string(100'000 + n),
          .account = "account-" + std::to_string(n % 24),
          .payload = "p",
          .steps = {step},
          .terms = {.queue = "q",
                    .service = "s",
                    .priority = priority,
                    .max_attempts = 4,
                    .stretch = 2,
                    .target = 1s}};
}

// Runs jobs with one task on each machine to their ends, so that the run-time
// model knows every machine, and the queue.
void Train(Ledger& ledger, int workers, int first_job) {
  const RulesView rules;
  for (int n = 0; n < kTrainingJobs; ++n) {
    const JobRequest job =
        MakeJob(first_job + n, 2,
                {.tasks = workers,
                 .need = {.cpu_milli = 1000, .accelerators = 1},
                 .estimate = 7600ms,
                 .max_per_worker = 1});
    ledger.Apply(kNow, JobSubmitted{.request = job});
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
      ledger.Apply(kNow, r);
    }
    for (int w = 0; w < workers; ++w) {
      const WorkerIncarnation worker = MakeIncarnation(w);
      const auto runs = ledger.FindWorker(worker)->runs;
      for (const auto& [task, run] : runs) {
        ledger.Apply(
            kNow,
            TaskEnded{.incarnation = worker,
                      .end_number = n + 1,
                      .task = task,
                      .run = run.run,
                      .run_time = w % kMachinesPerSlowOne == 0
                                      ? std::chrono::duration_cast<Duration>(
                                            kRunTime * kSlowness)
                                      : kRunTime});
      }
    }
  }
}

// `workers` full workers, and `units` waiting units: wide jobs of single tasks,
// and a gang of urgent tasks for every ten of them.
Ledger FullCluster(int workers, int units, bool is_trained) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < workers; ++n) {
    const std::string rack = "r-" + std::to_string(n / kWorkersPerRack);
    ledger.Apply(kNow, WorkerReported{.agent = "a-" + std::to_string(n),
                                      .incarnation = MakeIncarnation(n),
                                      .service = "s",
                                      .data_centre = "d",
                                      .rack = rack,
                                      .labels = {"kind", rack},
                                      .capacity = {.cpu_milli = 128'000,
                                                   .memory_mb = 512'000,
                                                   .accelerators = 8}});
  }
  int job = 0;
  if (is_trained) {
    Train(ledger, workers, job);
    job += kTrainingJobs;
  }
  const JobStep sheet{
      .tasks = kTasksPerSheet,
      .need = {.cpu_milli = 11'000, .memory_mb = 32'000, .accelerators = 1},
      .estimate = 7600ms};
  const int running_sheets = workers * 8 / kTasksPerSheet;
  for (int n = 0; n < running_sheets; ++n) {
    ledger.Apply(kNow, JobSubmitted{.request = MakeJob(job++, 2, sheet)});
  }
  RulesView rules;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    ledger.Apply(kNow, r);
  }
  for (int n = 0; n < units; n += kTasksPerSheet) {
    ledger.Apply(kNow, JobSubmitted{.request = MakeJob(job++, 2, sheet)});
    ledger.Apply(kNow,
                 JobSubmitted{.request = MakeJob(job++, 0,
                                                 {.tasks = kTasksPerCheck,
                                                  .need = {.cpu_milli = 15'000,
                                                           .memory_mb = 32'000,
                                                           .accelerators = 2},
                                                  .estimate = 2500ms,
                                                  .gang = true})});
  }
  return ledger;
}

void PlanWhenFull(benchmark::State& state) {
  const Ledger ledger =
      FullCluster(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)), state.range(2) != 0);
  if (state.range(2) != 0 && ledger.run_times().machine_count() !=
                                 static_cast<std::size_t>(state.range(0))) {
    state.SkipWithError("machines are missing from the run-time model");
    return;
  }
  const RulesView rules;
  const Dispatcher dispatcher({});
  for (auto _ : state) {
    benchmark::DoNotOptimize(dispatcher.Plan(
        {.now = kNow + 2s, .epoch = 1, .ledger = ledger, .rules = rules}));
  }
}
BENCHMARK(PlanWhenFull)
    ->ArgNames({"workers", "units", "is_trained"})
    ->Args({240, 500, 0})
    ->Args({240, 5'000, 0})
    ->Args({240, 5'000, 1})
    ->Args({2'400, 5'000, 0})
    ->Args({2'400, 5'000, 1})
    ->Unit(benchmark::kMillisecond);

// Time and heap of the copy that an explanation of a job plans on.
void CopyForPlanning(benchmark::State& state) {
  const Ledger ledger = FullCluster(static_cast<int>(state.range(0)),
                                    static_cast<int>(state.range(1)), true);
  for (auto _ : state) {
    const struct mallinfo2 before = mallinfo2();
    const Ledger copy = ledger.CopyForPlanning();
    const struct mallinfo2 after = mallinfo2();
    state.counters["units"] = static_cast<double>(copy.OpenUnitCount());
    state.counters["bytes"] = static_cast<double>(after.uordblks) +
                              static_cast<double>(after.hblkhd) -
                              static_cast<double>(before.uordblks) -
                              static_cast<double>(before.hblkhd);
  }
}
BENCHMARK(CopyForPlanning)
    ->ArgNames({"workers", "units"})
    ->Args({240, 5'000})
    ->Args({240, 18'000})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramplank

BENCHMARK_MAIN();
