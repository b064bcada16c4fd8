// Time of the admission of one job while every worker is full, and of the
// measurement of the load that it uses, by the number of open jobs.

#include <benchmark/benchmark.h>

#include <set>
#include <string>

#include "src/admission/admission.h"
#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr int kWorkers = 75;
constexpr int kAccounts = 10;

JobRequest MakeJob(int n) {
  return {.id = "job-" + std::to_string(100'000 + n),
          .account = "account-" + std::to_string(n % kAccounts),
          .payload = "p",
          .steps = {{.tasks = 39,
                     .need = {.cpu_milli = 4'000, .accelerators = 1},
                     .estimate = Duration(4'000 + 100 * (n % 80))}},
          .terms = {.queue = "q",
                    .service = "s",
                    .priority = 2,
                    .max_attempts = 4,
                    .stretch = 3,
                    .target = 3s}};
}

Ledger FullCluster(int jobs) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < kWorkers; ++n) {
    ledger.Apply(kNow, WorkerReported{.agent = "a-" + std::to_string(n),
                                      .incarnation = {.id = std::to_string(n)},
                                      .service = "s",
                                      .data_centre = "d",
                                      .rack = "r-" + std::to_string(n / 12),
                                      .capacity = {.cpu_milli = 64'000,
                                                   .memory_mb = 256'000,
                                                   .accelerators = 8}});
  }
  for (int n = 0; n < jobs; ++n) {
    ledger.Apply(kNow, JobSubmitted{.request = MakeJob(n)});
  }
  const RulesView rules;
  std::set<std::string> learned_jobs;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    ledger.Apply(kNow, r);
    const auto* start = std::get_if<RunStarted>(&r);
    if (start != nullptr && learned_jobs.insert(start->first.job).second) {
      ledger.Apply(kNow,
                   RunObserved{.incarnation = start->members[0].incarnation,
                               .task = start->first,
                               .run = start->run,
                               .percent = 10,
                               .projected_run_time = 8s});
    }
  }
  return ledger;
}

void Measure(benchmark::State& state) {
  const Ledger ledger = FullCluster(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(MeasureLoad(kNow + 1s, ledger, 5s));
  }
}
BENCHMARK(Measure)->Arg(50)->Arg(500)->Unit(benchmark::kMicrosecond);

void Decide(benchmark::State& state) {
  const Ledger ledger = FullCluster(static_cast<int>(state.range(0)));
  const RulesView rules;
  KnownWorkers workers;
  workers.Update(kNow - 10s, ledger);
  const LoadSnapshot load = MeasureLoad(kNow + 1s, ledger, 5s);
  const JobRequest job = MakeJob(1'000'000);
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecideAdmission({.now = kNow + 1s,
                                              .ledger_loaded = true,
                                              .ledger = ledger,
                                              .rules = rules,
                                              .workers = workers,
                                              .load = load,
                                              .request = job},
                                             {}));
  }
}
BENCHMARK(Decide)->Arg(50)->Arg(500)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace marjoramplank

BENCHMARK_MAIN();
