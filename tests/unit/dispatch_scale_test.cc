#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "tests/support/trained_ledger.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr int kWorkers = 240;
constexpr int kWorkersPerRack = 12;
constexpr std::int32_t kTasksPerSheet = 80;
constexpr int kSheets = 60;
constexpr int kChecks = 60;

// Searches that one step may cost in a plan, each over all workers: placement
// with and without the preferred rack and the workers on which it failed
// before, the two questions on racks, and preemption in one rack and anywhere.
constexpr std::int64_t kSearchesPerStep = 8;

WorkerIncarnation MakeIncarnation(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
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

Ledger Cluster() {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < kWorkers; ++n) {
    ledger.Apply(
        kNow, WorkerReported{.agent = "a" + std::to_string(n),
                             .incarnation = MakeIncarnation(n),
                             .service = "s",
                             .data_centre = "d",
                             .rack = "r" + std::to_string(n / kWorkersPerRack),
                             .capacity = {.accelerators = 8}});
  }
  return ledger;
}

const JobStep kSheet = {.tasks = kTasksPerSheet, .need = {.accelerators = 1}};

void AddSheets(Ledger& ledger, const std::string& prefix, int n) {
  for (int i = 0; i < n; ++i) {
    ledger.Apply(kNow, JobSubmitted{.request = Job(prefix + std::to_string(i),
                                                   2, kSheet)});
  }
}

// Every third machine is slow, and all are known.
void LearnSpeeds(Ledger& ledger) {
  constexpr double kSlowness = 2.2;
  std::vector<TrainedMachine> machines;
  machines.reserve(kWorkers);
  for (int n = 0; n < kWorkers; ++n) {
    machines.push_back(
        {.worker = MakeIncarnation(n), .slowness = n % 3 == 0 ? kSlowness : 1});
  }
  TrainMachines(ledger, kNow, machines);
}

void FillWorkers(Ledger& ledger) {
  AddSheets(ledger, "running", kWorkers * 8 / kTasksPerSheet);
  const RulesView rules;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    REQUIRE(ledger.Apply(kNow, r));
  }
}

Dispatcher::Trace TraceOfPlan(const Ledger& ledger) {
  Dispatcher::Trace trace;
  const RulesView rules;
  Dispatcher({}).Plan({.now = kNow + 1s,
                       .epoch = 1,
                       .ledger = ledger,
                       .rules = rules,
                       .trace = &trace});
  return trace;
}

// Guards against plans that take seconds under overload: the planner then
// misses its heartbeats, and its entry answers no status query.
TEST_CASE("the work of a plan grows with steps, not with waiting tasks",
          "[dispatcher][scale]") {
  Ledger ledger = Cluster();
  if (GENERATE(false, true)) {
    LearnSpeeds(ledger);
  }
  FillWorkers(ledger);

  SECTION("thousands of single tasks wait while every worker is full") {
    AddSheets(ledger, "waiting", kSheets);
    const Dispatcher::Trace trace = TraceOfPlan(ledger);
    REQUIRE(trace.waiting_units == kSheets * kTasksPerSheet);
    CHECK(trace.examined_workers <= kSearchesPerStep * kSheets * kWorkers);
  }

  SECTION("gangs that may not preempt wait for whole workers") {
    for (int i = 0; i < kChecks; ++i) {
      ledger.Apply(kNow,
                   JobSubmitted{.request = Job("render" + std::to_string(i), 1,
                                               {.tasks = 8,
                                                .need = {.accelerators = 8},
                                                .gang = true,
                                                .same_rack = true})});
    }
    const Dispatcher::Trace trace = TraceOfPlan(ledger);
    REQUIRE(trace.waiting_units == kChecks);
    CHECK(trace.examined_workers <= kSearchesPerStep * kChecks * kWorkers);
  }

  SECTION("urgent gangs wait for workers with a required label") {
    // No worker has the label, so that nothing can be preempted for them.
    for (int i = 0; i < kChecks; ++i) {
      ledger.Apply(kNow,
                   JobSubmitted{.request = Job("urgent" + std::to_string(i), 0,
                                               {.tasks = 8,
                                                .need = {.accelerators = 2},
                                                .gang = true,
                                                .same_rack = true,
                                                .required_label = "other"})});
    }
    const Dispatcher::Trace trace = TraceOfPlan(ledger);
    REQUIRE(trace.waiting_units == kChecks);
    CHECK(trace.examined_workers <= kSearchesPerStep * kChecks * kWorkers);
  }
}

}  // namespace
}  // namespace marjoramplank
