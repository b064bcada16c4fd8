// Properties of the order among accounts, on random ledgers.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
constexpr int kAccounts = 4;

struct RandomJob {
  int account = 0;
  JobStep step;
  std::int32_t priority = 0;
  Duration waited{0};
};

RandomJob MakeJob(int max_tasks) {
  return {.account = *rc::gen::inRange(0, kAccounts),
          .step = {.tasks = *rc::gen::inRange(1, max_tasks + 1),
                   .need = {.accelerators = *rc::gen::element(1, 2, 4)},
                   .estimate = Duration(*rc::gen::inRange(500, 9'000)),
                   .gang = *rc::gen::arbitrary<bool>()},
          .priority = *rc::gen::inRange(0, 3),
          .waited = Duration(*rc::gen::inRange(0, 20'000))};
}

// With `one_account`, every job is of the same account, so that nobody
// competes.
Ledger MakeLedger(int workers,
                  const std::vector<RandomJob>& jobs,
                  bool one_account) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < workers; ++n) {
    ledger.Apply(
        kNow,
        WorkerReported{.agent = "agent" + std::to_string(n),
                       .incarnation = {.id = "w" + std::to_string(n),
                                       .started_at_unix_ms = 1},
                       .service = "s",
                       .data_centre = "d",
                       .rack = "r" + std::to_string(n / 4),
                       .capacity = {.accelerators = kAcceleratorsPerWorker}});
  }
  for (std::size_t n = 0; n < jobs.size(); ++n) {
    const RandomJob& job = jobs[n];
    ledger.Apply(kNow - job.waited,
                 JobSubmitted{.request = {.id = "j" + std::to_string(n),
                                          .account = std::to_string(
                                              one_account ? 0 : job.account),
                                          .payload = "p",
                                          .steps = {job.step},
                                          .terms = {.queue = "q",
                                                    .service = "s",
                                                    .priority = job.priority,
                                                    .max_attempts = 2,
                                                    .stretch = 2,
                                                    .target = 1s}}});
  }
  return ledger;
}

std::vector<LedgerRecord> PlanOf(const Ledger& ledger) {
  RulesView rules;
  rules.loaded = true;
  return Dispatcher({}).Plan(
      {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules});
}

void ApplyAll(Ledger& ledger, const std::vector<LedgerRecord>& records) {
  for (const LedgerRecord& r : records) {
    ledger.Apply(kNow, r);
  }
}

std::vector<RandomJob> MakeJobs(int max_jobs, int max_tasks) {
  std::vector<RandomJob> jobs;
  const int count = *rc::gen::inRange(1, max_jobs + 1);
  jobs.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) {
    jobs.push_back(MakeJob(max_tasks));
  }
  return jobs;
}

std::int64_t Demand(const std::vector<RandomJob>& jobs) {
  std::int64_t out = 0;
  for (const RandomJob& job : jobs) {
    out += job.step.tasks * job.step.need.accelerators;
  }
  return out;
}

// Guards against: accounts change decisions where capacity suffices.
TEST_CASE("fairness changes nothing while capacity suffices",
          "[fair_share][property]") {
  rc::prop("the plan is that of a single account", [] {
    const std::vector<RandomJob> jobs = MakeJobs(12, 6);
    const int workers = static_cast<int>(
        (Demand(jobs) + kAcceleratorsPerWorker - 1) / kAcceleratorsPerWorker);
    RC_ASSERT(PlanOf(MakeLedger(workers, jobs, false)) ==
              PlanOf(MakeLedger(workers, jobs, true)));
  });
}

TEST_CASE("fairness changes nothing while one account waits",
          "[fair_share][property]") {
  rc::prop("the plan is that of a single account", [] {
    // The jobs of the other accounts fit exactly and run already.
    std::vector<RandomJob> running = MakeJobs(6, 4);
    for (RandomJob& job : running) {
      job.step.gang = false;
      job.step.need = {.accelerators = 1};
    }
    std::vector<RandomJob> jobs = running;
    for (RandomJob& job : jobs) {
      job.account = 1 + job.account % (kAccounts - 1);
    }
    const int workers =
        static_cast<int>(Demand(running) / kAcceleratorsPerWorker) + 1;
    std::vector<Ledger> ledgers;
    for (const bool one_account : {false, true}) {
      ledgers.push_back(MakeLedger(workers, jobs, one_account));
      ApplyAll(ledgers.back(), PlanOf(ledgers.back()));
    }
    const std::vector<RandomJob> waiting = MakeJobs(12, 8);
    for (Ledger& ledger : ledgers) {
      for (std::size_t n = 0; n < waiting.size(); ++n) {
        RC_ASSERT(ledger.Apply(
            kNow - waiting[n].waited,
            JobSubmitted{.request = {.id = "w" + std::to_string(n),
                                     .account = "0",
                                     .payload = "p",
                                     .steps = {waiting[n].step},
                                     .terms = {.queue = "q",
                                               .service = "s",
                                               .priority = waiting[n].priority,
                                               .max_attempts = 2,
                                               .stretch = 2,
                                               .target = 1s}}}));
      }
    }
    RC_ASSERT(PlanOf(ledgers[0]) == PlanOf(ledgers[1]));
  });
}

// Guards against: an order that leaves capacity idle which it could use.
TEST_CASE("fairness leaves no capacity idle", "[fair_share][property]") {
  rc::prop("single tasks of one accelerator fill the service", [] {
    std::vector<RandomJob> jobs = MakeJobs(12, 20);
    for (RandomJob& job : jobs) {
      job.step.gang = false;
      job.step.need = {.accelerators = 1};
    }
    const int workers = *rc::gen::inRange(1, 8);
    const std::vector<LedgerRecord> plan =
        PlanOf(MakeLedger(workers, jobs, false));
    RC_ASSERT(std::ssize(plan) ==
              std::min(Demand(jobs), workers * kAcceleratorsPerWorker));
  });
}

}  // namespace
}  // namespace marjoramplank
