// Which jobs are said to wait, and which to run.

#include <catch2/catch.hpp>

#include <algorithm>

#include "src/jobs/ledger.h"
#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
const WorkerIncarnation kWorker = {.id = "w", .started_at_unix_ms = 1};

Ledger JobOfTwoTasks(bool gang) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(kNow, WorkerReported{.agent = "a", .incarnation = kWorker});
  ledger.Apply(kNow,
               JobSubmitted{.request = {.id = "j",
                                        .account = "a",
                                        .payload = "p",
                                        .steps = {{.tasks = 2, .gang = gang}},
                                        .terms = {.queue = "q",
                                                  .service = "s",
                                                  .max_attempts = 2}}});
  return ledger;
}

TaskRef Task(std::int32_t index) {
  return {.job = "j", .index = index};
}

void Start(Ledger& ledger, std::int32_t index, std::int32_t run) {
  REQUIRE(ledger.Apply(
      kNow, RunStarted{.epoch = 1,
                       .first = Task(index),
                       .run = run,
                       .members = {{.index = index, .incarnation = kWorker}}}));
}

void Refuse(Ledger& ledger, std::int32_t index, std::int32_t run) {
  REQUIRE(ledger.Apply(
      kNow,
      StartRefused{.incarnation = kWorker, .task = Task(index), .run = run}));
}

bool IsWaiting(const Ledger& ledger) {
  const std::map<JobQueue, std::int32_t> counts = ledger.QueuedJobCounts();
  const auto of_queue =
      std::find_if(counts.begin(), counts.end(),
                   [](const auto& entry) { return entry.first.queue == "q"; });
  const bool is_counted = of_queue != counts.end() && of_queue->second == 1;
  CHECK((ledger.FindJob("j")->phase == JobPhase::kQueued) == is_counted);
  return is_counted;
}

// Guards against jobs that no worker has begun and that nobody counts.
TEST_CASE("a job waits until a worker has begun one of its tasks",
          "[waiting]") {
  Ledger ledger = JobOfTwoTasks(/*gang=*/false);
  REQUIRE(IsWaiting(ledger));
  Start(ledger, 0, 1);
  REQUIRE_FALSE(IsWaiting(ledger));

  SECTION("it waits again when the worker has refused the start") {
    Refuse(ledger, 0, 1);
    CHECK(IsWaiting(ledger));
    SECTION("until the next start") {
      Start(ledger, 0, 2);
      CHECK_FALSE(IsWaiting(ledger));
    }
  }
  SECTION("not while another task may have begun") {
    Start(ledger, 1, 1);
    Refuse(ledger, 0, 1);
    CHECK_FALSE(IsWaiting(ledger));
    SECTION("which is known to a process that has loaded a snapshot") {
      auto restored =
          LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
      REQUIRE(restored);
      CHECK_FALSE(IsWaiting(restored->ledger));
      Refuse(restored->ledger, 1, 1);
      CHECK(IsWaiting(restored->ledger));
    }
    SECTION("until that is refused too") {
      Refuse(ledger, 1, 1);
      CHECK(IsWaiting(ledger));
    }
  }
  SECTION("it waits again when the start is lost with its agent") {
    ledger.Apply(kNow, WorkerEmptied{.incarnation = kWorker, .epoch = 1});
    CHECK(IsWaiting(ledger));
  }
  SECTION("not once a task has run and is refused when it starts again") {
    SECTION("after a run that ended") {
      ledger.Apply(kNow, TaskEnded{.incarnation = kWorker,
                                   .end_number = 1,
                                   .task = Task(0),
                                   .outcome = TaskOutcome::kStopped});
    }
    SECTION("after a run that was observed, then failed") {
      ledger.Apply(kNow, RunObserved{.incarnation = kWorker, .task = Task(0)});
      ledger.Apply(kNow, TaskEnded{.incarnation = kWorker,
                                   .end_number = 1,
                                   .task = Task(0),
                                   .outcome = TaskOutcome::kFailed});
    }
    SECTION("after a run that was lost with its worker") {
      ledger.Apply(kNow, WorkerEmptied{.incarnation = kWorker});
      ledger.Apply(kNow, WorkerReported{.agent = "a", .incarnation = kWorker});
    }
    Start(ledger, 0, 2);
    Refuse(ledger, 0, 2);
    CHECK_FALSE(IsWaiting(ledger));
    auto restored = LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
    REQUIRE(restored);
    Start(restored->ledger, 0, 3);
    Refuse(restored->ledger, 0, 3);
    CHECK_FALSE(IsWaiting(restored->ledger));
  }
}

TEST_CASE("a gang waits again once its workers have refused all members",
          "[waiting]") {
  Ledger ledger = JobOfTwoTasks(/*gang=*/true);
  REQUIRE(ledger.Apply(
      kNow, RunStarted{.epoch = 1,
                       .first = Task(0),
                       .run = 1,
                       .members = {{.index = 0, .incarnation = kWorker},
                                   {.index = 1, .incarnation = kWorker}}}));
  Refuse(ledger, 0, 1);
  CHECK_FALSE(IsWaiting(ledger));
  Refuse(ledger, 1, 1);
  CHECK(IsWaiting(ledger));
}

}  // namespace
}  // namespace marjoramplank
