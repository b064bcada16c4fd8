#include <catch2/catch.hpp>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;

WorkerIncarnation MakeIncarnation(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
}

Ledger Cluster(int workers) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < workers; ++n) {
    ledger.Apply(kNow, WorkerReported{.agent = "a" + std::to_string(n),
                                      .incarnation = MakeIncarnation(n),
                                      .service = "s",
                                      .data_centre = "d",
                                      .rack = "r",
                                      .capacity = {.accelerators = 8}});
  }
  return ledger;
}

JobRequest Job(const std::string& id, std::int32_t priority, JobStep step) {
  return {.id = id,
          .account = "a",
          .payload = "p",
          .steps = {std::move(step)},
          .terms = {.queue = "q",
                    .service = "s",
                    .priority = priority,
                    .max_attempts = 2,
                    .stretch = 2,
                    .target = 1s}};
}

// Adds a job of one task that has run on the worker for `run_time`.
void AddRunningJob(Ledger& ledger,
                   const JobRequest& job,
                   int worker,
                   Duration run_time) {
  const Time started_at = kNow - run_time;
  ledger.Apply(started_at, JobSubmitted{.request = job});
  REQUIRE(ledger.Apply(
      started_at,
      RunStarted{.epoch = 1,
                 .first = {.job = job.id},
                 .run = 1,
                 .members = {{.incarnation = MakeIncarnation(worker)}}}));
}

std::vector<std::string> PreemptedJobs(const Ledger& ledger) {
  RulesView rules;
  rules.loaded = true;
  rules.rules.accounts = {{.name = "a", .guaranteed_accelerators = 8}};
  std::vector<std::string> out;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    if (const auto* stop = std::get_if<RunStopped>(&r)) {
      out.push_back(stop->first.job);
    }
  }
  return out;
}

TEST_CASE("selection of preemption victims", "[preemption]") {
  SECTION("a cheap task that frees too little is not stopped") {
    Ledger ledger = Cluster(1);
    AddRunningJob(ledger, Job("one", 1, {.need = {.accelerators = 1}}), 0, 1s);
    AddRunningJob(ledger, Job("three", 1, {.need = {.accelerators = 3}}), 0,
                  3s);
    AddRunningJob(ledger, Job("four", 1, {.need = {.accelerators = 4}}), 0, 3s);
    ledger.Apply(
        kNow, JobSubmitted{
                  .request = Job("urgent", 0, {.need = {.accelerators = 7}})});
    CHECK(PreemptedJobs(ledger) == std::vector<std::string>{"three", "four"});
  }

  SECTION("a task that saves a checkpoint at the stop is preempted first") {
    Ledger ledger = Cluster(2);
    AddRunningJob(
        ledger,
        Job("saves", 1, {.need = {.accelerators = 8}, .checkpoints = true}), 0,
        10s);
    AddRunningJob(ledger, Job("starts_anew", 1, {.need = {.accelerators = 8}}),
                  1, 1s);
    ledger.Apply(
        kNow, JobSubmitted{
                  .request = Job("urgent", 0, {.need = {.accelerators = 8}})});
    CHECK(PreemptedJobs(ledger) == std::vector<std::string>{"saves"});
  }

  // Guards against a guarantee that is lent to urgent jobs of other accounts.
  SECTION("a job of priority 0 beyond its guarantee") {
    Ledger ledger = Cluster(2);
    JobRequest borrower =
        Job("borrows", 0, {.need = {.accelerators = 8}, .estimate = 60s});
    borrower.account = "without a guarantee";
    AddRunningJob(ledger, borrower, 0, 1s);
    const auto submit_claim = [&] {
      ledger.Apply(kNow,
                   JobSubmitted{.request = Job("claims", 0,
                                               {.need = {.accelerators = 8}})});
    };
    SECTION("is preempted for one within it") {
      borrower.id = "borrows_too";
      AddRunningJob(ledger, borrower, 1, 5s);
      submit_claim();
      CHECK(PreemptedJobs(ledger) == std::vector<std::string>{"borrows"});
    }
    SECTION("only if no other task makes room") {
      AddRunningJob(ledger, Job("costs_more", 1, {.need = {.accelerators = 8}}),
                    1, 50s);
      submit_claim();
      CHECK(PreemptedJobs(ledger) == std::vector<std::string>{"costs_more"});
    }
  }

  // Guards against a guarantee that is lent to long-running tasks for good.
  SECTION("long-running tasks") {
    Ledger ledger = Cluster(1);
    AddRunningJob(
        ledger,
        Job("serves", 1, {.need = {.accelerators = 8}, .long_running = true}),
        0, 10s);
    SECTION("are preempted for a job within its guarantee") {
      ledger.Apply(kNow,
                   JobSubmitted{.request = Job("urgent", 0,
                                               {.need = {.accelerators = 8}})});
      CHECK(PreemptedJobs(ledger) == std::vector<std::string>{"serves"});
    }
    SECTION("unless their step limits how many may be away") {
      for (const std::int32_t limit : {0, 2}) {
        Ledger limited = Cluster(1);
        AddRunningJob(limited,
                      Job("serves", 1,
                          {.need = {.accelerators = 8},
                           .long_running = true,
                           .max_unavailable = limit}),
                      0, 10s);
        limited.Apply(
            kNow, JobSubmitted{.request = Job("urgent", 0,
                                              {.need = {.accelerators = 8}})});
        CHECK(PreemptedJobs(limited).empty());
      }
    }
    SECTION("but not for one beyond it") {
      ledger.Apply(
          kNow, JobSubmitted{
                    .request = Job("urgent", 0,
                                   {.tasks = 2, .need = {.accelerators = 8}})});
      CHECK(PreemptedJobs(ledger).empty());
    }
  }
}

}  // namespace
}  // namespace marjoramplank
