#include <catch2/catch.hpp>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;

WorkerLife Life(int n) {
  return {.id = "w" + std::to_string(n), .born_ms = 1};
}

Ledger Cluster(int workers) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < workers; ++n) {
    ledger.Apply(kNow, WorkerReported{.agent = "a" + std::to_string(n),
                                      .life = Life(n),
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

// A job of one task that has run on the worker for some time.
void Run(Ledger& ledger, const JobRequest& job, int worker, Duration since) {
  const Time then = kNow - since;
  ledger.Apply(then, JobSubmitted{.request = job});
  REQUIRE(ledger.Apply(then, RunStarted{.epoch = 1,
                                        .first = {.job = job.id},
                                        .run = 1,
                                        .members = {{.life = Life(worker)}}}));
}

std::vector<std::string> JobsStopped(const Ledger& ledger) {
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

TEST_CASE("what gives way to urgent work", "[preemption]") {
  SECTION("a cheap task whose room does not help goes on") {
    Ledger ledger = Cluster(1);
    Run(ledger, Job("one", 1, {.need = {.accelerators = 1}}), 0, 1s);
    Run(ledger, Job("three", 1, {.need = {.accelerators = 3}}), 0, 3s);
    Run(ledger, Job("four", 1, {.need = {.accelerators = 4}}), 0, 3s);
    ledger.Apply(
        kNow, JobSubmitted{
                  .request = Job("urgent", 0, {.need = {.accelerators = 7}})});
    CHECK(JobsStopped(ledger) == std::vector<std::string>{"three", "four"});
  }

  SECTION("a task that saves its progress at the stop goes first") {
    Ledger ledger = Cluster(2);
    Run(ledger,
        Job("saves", 1, {.need = {.accelerators = 8}, .checkpoints = true}), 0,
        10s);
    Run(ledger, Job("starts_anew", 1, {.need = {.accelerators = 8}}), 1, 1s);
    ledger.Apply(
        kNow, JobSubmitted{
                  .request = Job("urgent", 0, {.need = {.accelerators = 8}})});
    CHECK(JobsStopped(ledger) == std::vector<std::string>{"saves"});
  }
}

}  // namespace
}  // namespace marjoramplank
