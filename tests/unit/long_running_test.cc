// Tasks that run until their job is cancelled are restarted however they end.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr std::int32_t kMaxAttempts = 2;
const WorkerIncarnation kWorker = {.id = "w", .started_at_unix_ms = 1};
const TaskRef kEndingTask = {.job = "j", .step = 0};
const TaskRef kLastingTask = {.job = "j", .step = 1};

// A job with a step that ends beside one that lasts.
Ledger MixedJob() {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(kNow, WorkerReported{.agent = "a",
                                    .incarnation = kWorker,
                                    .service = "s",
                                    .data_centre = "d",
                                    .rack = "r",
                                    .capacity = {.accelerators = 8}});
  ledger.Apply(
      kNow, JobSubmitted{.request = {.id = "j",
                                     .account = "a",
                                     .payload = "p",
                                     .steps = {{.need = {.accelerators = 1}},
                                               {.need = {.accelerators = 1},
                                                .long_running = true}},
                                     .terms = {.queue = "q",
                                               .service = "s",
                                               .max_attempts = kMaxAttempts}}});
  return ledger;
}

void StartRun(Ledger& ledger, const TaskRef& task, std::int32_t run) {
  REQUIRE(
      ledger.Apply(kNow, RunStarted{.epoch = 1,
                                    .first = task,
                                    .run = run,
                                    .members = {{.incarnation = kWorker}}}));
}

void EndRun(Ledger& ledger,
            const TaskRef& task,
            std::int32_t run,
            TaskOutcome outcome) {
  REQUIRE(ledger.Apply(kNow, TaskEnded{.incarnation = kWorker,
                                       .end_number = run,
                                       .task = task,
                                       .run = run,
                                       .outcome = outcome}));
}

void FailRuns(Ledger& ledger, const TaskRef& task, std::int32_t runs) {
  for (std::int32_t run = 1; run <= runs; ++run) {
    StartRun(ledger, task, run);
    EndRun(ledger, task, run, TaskOutcome::kFailed);
  }
}

// Each run crashes the worker, which returns at once as the same incarnation.
void CrashUnderRuns(Ledger& ledger, const TaskRef& task, std::int32_t runs) {
  const WorkerReported report = ledger.FindWorker(kWorker)->report;
  for (std::int32_t run = 1; run <= runs; ++run) {
    REQUIRE(
        ledger.Apply(kNow, RunStarted{.epoch = 1,
                                      .first = task,
                                      .run = run,
                                      .members = {{.incarnation = kWorker}}}));
    ledger.Apply(kNow, WorkerEmptied{.incarnation = kWorker,
                                     .crashed = true,
                                     .suspects = {{.task = task, .run = run}}});
    ledger.Apply(kNow, report);
  }
}

bool IsStarted(const Ledger& ledger, const TaskRef& task) {
  const RulesView rules;
  // The worker is quarantined for a while after it has failed runs.
  const Time at = kNow + 7s;
  Ledger later = ledger;
  later.Apply(at, AgentHeartbeat{.agent = "a",
                                 .process = "p",
                                 .heard_worker = kWorker,
                                 .heard_ago = Duration(0)});
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = at, .epoch = 1, .ledger = later, .rules = rules})) {
    const auto* start = std::get_if<RunStarted>(&r);
    if (start != nullptr && start->first == task) {
      return true;
    }
  }
  return false;
}

// Guards against a job that is given up for the failures of a task that lasts.
TEST_CASE("failed runs of a long-running task do not end its job",
          "[long_running]") {
  Ledger ledger = MixedJob();

  SECTION("it is started again, beside a step that ends") {
    FailRuns(ledger, kLastingTask, kMaxAttempts + 1);
    CHECK(ledger.FindJob("j")->phase == JobPhase::kRunning);
    CHECK(IsStarted(ledger, kLastingTask));
  }
  SECTION("those of the other step do") {
    FailRuns(ledger, kEndingTask, kMaxAttempts);
    CHECK(ledger.FindJob("j")->phase == JobPhase::kFailed);
    CHECK_FALSE(IsStarted(ledger, kLastingTask));
  }
}

// Guards against a long-running task that is given up for crashes.
TEST_CASE("crashes under a long-running task do not end its job",
          "[long_running]") {
  Ledger ledger = MixedJob();
  StartRun(ledger, kEndingTask, 1);
  EndRun(ledger, kEndingTask, 1, TaskOutcome::kDone);
  CrashUnderRuns(ledger, kLastingTask, 6);
  CHECK(ledger.FindJob("j")->phase == JobPhase::kRunning);
  CHECK(IsStarted(ledger, kLastingTask));
}

}  // namespace
}  // namespace marjoramplank
