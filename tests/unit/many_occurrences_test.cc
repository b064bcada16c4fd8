// Guards against processes that exceed their memory because accepted jobs have
// many occurrences or tasks that nothing has happened to yet.

#include <catch2/catch.hpp>

#include <string>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_snapshot.h"
#include "tests/support/dispatch_cluster.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 10s;
constexpr std::int64_t kFirstDue = 1'000'000'000'000;
const WorkerIncarnation kWorker{.id = "w", .started_at_unix_ms = 1};

JobRequest Request(const std::string& id) {
  return {.id = id,
          .account = "a",
          .payload = "p",
          .steps = {{.tasks = 1, .need = {.cpu_milli = 1000}}},
          .terms = {.queue = "q", .service = "s", .max_attempts = 2}};
}

JobRequest Scheduled(const std::string& id, std::int32_t occurrences) {
  JobRequest out = Request(id);
  out.recurrence = {.occurrence_count = occurrences,
                    .first_due_unix_ms = kFirstDue,
                    .interval_ms = 5000};
  return out;
}

JobRequest Wide(const std::string& id, std::int32_t tasks) {
  JobRequest out = Request(id);
  out.steps[0].tasks = tasks;
  return out;
}

Ledger LedgerWithWorker() {
  Ledger out;
  out.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p"});
  out.Apply(kNow, WorkerReported{.agent = "agent",
                                 .incarnation = kWorker,
                                 .service = "s",
                                 .capacity = {.cpu_milli = 64'000}});
  out.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  return out;
}

// Runs the task to its end.
void Run(Ledger& ledger, const TaskRef& task, std::int64_t end_number) {
  REQUIRE(ledger.Apply(
      kNow,
      RunStarted{.epoch = 1,
                 .first = task,
                 .members = {{.index = task.index, .incarnation = kWorker}}}));
  REQUIRE(ledger.Apply(kNow, TaskEnded{.incarnation = kWorker,
                                       .end_number = end_number,
                                       .task = task}));
}

TEST_CASE("a run-length vector holds equal neighbours once", "[ranges]") {
  RunLengthVector<int> v(10, 7);
  std::vector<int> expected(10, 7);
  const auto check = [&] {
    for (std::size_t i = 0; i < expected.size(); ++i) {
      CHECK(v[i] == expected[i]);
    }
    std::size_t end = 0;
    for (const auto range : v) {
      CHECK(range.first == end);
      end += range.count;
    }
    CHECK(end == expected.size());
  };
  const auto set = [&](std::size_t i, int value) {
    v.Isolate(i) = value;
    v.Coalesce(i);
    expected[i] = value;
    check();
  };
  for (const auto& [i, value, ranges] :
       {std::tuple(4, 1, 3), std::tuple(5, 1, 3), std::tuple(0, 2, 4),
        std::tuple(9, 3, 5), std::tuple(4, 7, 5), std::tuple(5, 7, 3),
        std::tuple(0, 7, 2), std::tuple(9, 7, 1)}) {
    set(static_cast<std::size_t>(i), value);
    CHECK(v.range_count() == static_cast<std::size_t>(ranges));
  }
  v.Isolate(3);  // Unchanged, in a range of its own.
  CHECK(v == RunLengthVector<int>(10, 7));
  v.Isolate(3) = 6;
  CHECK_FALSE(v == RunLengthVector<int>(10, 7));
}

TEST_CASE("what nothing has happened to costs no memory", "[ranges]") {
  Ledger ledger = LedgerWithWorker();
  constexpr int kJobs = 400;

  SECTION("scheduled jobs") {
    for (int n = 0; n < kJobs; ++n) {
      ledger.Apply(kNow,
                   JobSubmitted{Scheduled("j" + std::to_string(n), 17'280)});
    }
    CHECK(ledger.OpenUnitCount() == kJobs);
    for (std::int32_t k = 0; k < 50; ++k) {
      Run(ledger, {.job = "j0", .occurrence = k}, k + 1);
    }
    CHECK(ledger.OpenUnitCount() <= kJobs + 1);
  }
  SECTION("wide steps") {
    for (int n = 0; n < kJobs; ++n) {
      ledger.Apply(kNow, JobSubmitted{Wide("j" + std::to_string(n), 17'000)});
    }
    CHECK(ledger.OpenUnitCount() == kJobs);
    for (std::int32_t i = 0; i < 50; ++i) {
      Run(ledger, {.job = "j0", .index = 49 - i}, i + 1);
    }
    CHECK(ledger.OpenUnitCount() <= kJobs + 1);
  }
  const std::string snapshot = LedgerSnapshot::Save(ledger, 1);
  CHECK(snapshot.size() < kJobs * 200);
  const auto restored = LedgerSnapshot::Load(kNow, snapshot);
  REQUIRE(restored.has_value());
  CHECK(restored->ledger.OpenUnitCount() == ledger.OpenUnitCount());
  CHECK(restored->ledger.FindJob("j0")->occurrences ==
        ledger.FindJob("j0")->occurrences);
}

TEST_CASE("a scheduled job runs each of its occurrences once", "[ranges]") {
  Ledger ledger = LedgerWithWorker();
  ledger.Apply(kNow, JobSubmitted{Scheduled("j", 6)});
  for (const std::int32_t k : {3, 0, 5, 1, 4}) {
    Run(ledger, {.job = "j", .occurrence = k}, k + 1);
    CHECK(ledger.FindJob("j")->phase == JobPhase::kRunning);
  }
  CHECK_FALSE(
      ledger.Apply(kNow, RunStarted{.epoch = 1,
                                    .first = {.job = "j", .occurrence = 3},
                                    .run = 2,
                                    .members = {{.incarnation = kWorker}}}));
  Run(ledger, {.job = "j", .occurrence = 2}, 7);
  CHECK(ledger.FindJob("j")->phase == JobPhase::kCompleted);
}

TEST_CASE("a plan looks at due occurrences only", "[ranges]") {
  Ledger ledger = LedgerWithWorker();
  ledger.Apply(kNow, JobSubmitted{Scheduled("j", 17'280)});
  RulesView rules;
  rules.loaded = true;
  Dispatcher dispatcher({});
  std::vector<WaitingStep> order;
  const auto plan_at = [&](std::int64_t unix_ms) {
    order.clear();
    dispatcher.Plan({.now = kNow,
                     .unix_ms = unix_ms,
                     .epoch = 1,
                     .ledger = ledger,
                     .rules = rules,
                     .order = &order});
    return order.size();
  };
  CHECK(plan_at(kFirstDue - 1) == 0);
  CHECK(plan_at(kFirstDue) == 1);
  CHECK(plan_at(kFirstDue + 10'000) == 3);
  Run(ledger, {.job = "j", .occurrence = 1}, 1);
  CHECK(plan_at(kFirstDue + 10'000) == 2);
  CHECK(order[1].first.first_task.occurrence == 2);
  // Those that were due while nothing could run: the oldest first.
  CHECK(plan_at(kFirstDue + 17'280 * 5000) == 512);
  CHECK(order[0].first.first_task.occurrence == 0);
}

}  // namespace
}  // namespace marjoramplank
