// A worker with thousands of runs: what is said of all of them takes several
// records, as the log service refuses a larger one, now and later.

#include <catch2/catch.hpp>

#include <algorithm>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_codec.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {
namespace {

// Any log service takes this much.
constexpr std::size_t kLeastRecordLimit = 16 * 1024;
constexpr std::int32_t kRuns = 8000;
const std::string kJob = "f00d000000000001";
const WorkerIncarnation kWorker{.id = "i-1", .started_at_unix_ms = 1000};
const WorkerIncarnation kIdle{.id = "i-2", .started_at_unix_ms = 1000};

// A worker with the runs, and an idle one.
struct Rig {
  Rig() {
    Report("a1", kWorker);
    Report("a2", kIdle);
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    Submit(kJob, kRuns);
    for (std::int32_t n = 0; n < kRuns; ++n) {
      REQUIRE(ledger.Apply(
          now, RunStarted{.epoch = 1,
                          .first = {.job = kJob, .index = n},
                          .members = {{.index = n, .incarnation = kWorker}}}));
    }
  }
  void Report(const std::string& agent, const WorkerIncarnation& incarnation) {
    ledger.Apply(now, AgentHeartbeat{.agent = agent, .process = "p"});
    ledger.Apply(now, WorkerReported{.agent = agent,
                                     .incarnation = incarnation,
                                     .service = "s",
                                     .data_centre = "dc",
                                     .capacity = {.cpu_milli = 128'000}});
  }
  void Submit(const std::string& id, std::int32_t tasks, bool gang = false) {
    ledger.Apply(now,
                 JobSubmitted{.request = {.id = id,
                                          .account = "a",
                                          .payload = "p",
                                          .steps = {{.tasks = tasks,
                                                     .need = {.cpu_milli = 15},
                                                     .gang = gang}},
                                          .terms = {.queue = "q",
                                                    .service = "s",
                                                    .max_attempts = 2}}});
  }
  // The first worker's agent is silent until the worker is lost.
  void LoseWorker() {
    for (const Time end = now + LeaseTiming().LostAfter() + 1s; now < end;
         now += 400ms) {
      ledger.Apply(now, AgentHeartbeat{.agent = "a2",
                                       .process = "p",
                                       .heard_worker = kIdle,
                                       .heard_ago = 0ms});
    }
  }
  std::vector<LedgerRecord> Plan(const std::set<TaskRef>* excluded = nullptr) {
    RulesView rules{.loaded = true};
    return Dispatcher({}).Plan({.now = now,
                                .epoch = 1,
                                .ledger = ledger,
                                .rules = rules,
                                .excluded_units = excluded});
  }
  std::size_t RunsOnWorker() const {
    return ledger.FindWorker(kWorker)->runs.size();
  }

  Time now = 100s;
  Ledger ledger;
};

bool Starts(const std::vector<LedgerRecord>& plan, const std::string& job) {
  return std::any_of(plan.begin(), plan.end(), [&](const LedgerRecord& r) {
    const auto* start = std::get_if<RunStarted>(&r);
    return start != nullptr && start->first.job == job;
  });
}

// Guards against a lost worker that no record can state: every plan stated it
// again and nothing else, so nothing of any account started any more.
TEST_CASE("many runs: their worker is lost", "[many_runs]") {
  Rig rig;
  rig.LoseWorker();
  rig.Submit("later", 1);
  const std::vector<LedgerRecord> plan = rig.Plan();

  SECTION("each record of it fits into any log") {
    CHECK(std::all_of(plan.begin(), plan.end(), [](const LedgerRecord& r) {
      return EncodeRecord(r).size() <= kLeastRecordLimit;
    }));
  }
  SECTION("other jobs start in the same plan") {
    CHECK(Starts(plan, "later"));
  }
  SECTION("while a part of it is stored, the runs that it names have ended") {
    REQUIRE(rig.ledger.Apply(rig.now, plan.front()));
    const std::size_t left = rig.RunsOnWorker();
    CHECK(left > 0);
    CHECK(left < kRuns);
    for (const LedgerRecord& r : rig.Plan()) {
      rig.ledger.Apply(rig.now, r);
    }
    CHECK(rig.RunsOnWorker() == 0);
  }
}

// Guards against the same in the agent's statements about its worker.
TEST_CASE("many runs: their worker's agent states their end", "[many_runs]") {
  Rig rig;
  rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "a1", .process = "p2"});
  Supervisor agent({.agent = "a1", .process = "p2"});
  const auto kind =
      GENERATE(HoldReply::Kind::kNoAnswer, HoldReply::Kind::kConnectionRefused);
  std::size_t largest = 0;
  for (const Time end = rig.now + 20s; rig.now < end; rig.now += 100ms) {
    agent.OnAgentHeartbeatStored(rig.now);
    agent.OnLedger(rig.now, rig.ledger, /*current=*/true);
    if (const auto hold = agent.NextHold(rig.now)) {
      agent.OnHoldReply(rig.now, *hold, {.kind = kind});
    }
    for (const LedgerRecord& r : agent.TakeRecords(rig.now)) {
      largest = std::max(largest, EncodeRecord(r).size());
      rig.ledger.Apply(rig.now, r);
    }
  }
  CHECK(rig.RunsOnWorker() == 0);
  CHECK(largest <= kLeastRecordLimit);
}

// Guards against a crash of which no record can name all suspects.
TEST_CASE("many runs: their worker crashes under them", "[many_runs]") {
  Rig rig;
  Supervisor agent({.agent = "a1", .process = "p"});
  agent.OnLedger(rig.now, rig.ledger, /*current=*/true);
  // Resolves the starts of the process before: none was carried out.
  const auto answer = [&](HoldReply::Kind kind) {
    rig.now += 100ms;
    agent.OnAgentHeartbeatStored(rig.now);
    agent.OnLedger(rig.now, rig.ledger, /*current=*/true);
    if (const auto hold = agent.NextHold(rig.now)) {
      agent.OnHoldReply(rig.now, *hold,
                        {.kind = kind, .clock_ms = rig.now.count()});
    }
  };
  answer(HoldReply::Kind::kOk);
  for (const Time end = rig.now + 1s; rig.now < end;) {
    answer(HoldReply::Kind::kOk);
    for (const TaskCommand& c : agent.TakeCommands(rig.now)) {
      agent.OnStartReply(
          rig.now, std::get<StartCall>(c),
          {.kind = CommandReply::Kind::kDone, .clock_ms = rig.now.count()});
    }
    agent.TakeRecords(rig.now);
  }
  std::size_t suspects = 0;
  for (int n = 0; n < 10; ++n) {
    answer(HoldReply::Kind::kConnectionRefused);
    for (const LedgerRecord& r : agent.TakeRecords(rig.now)) {
      CHECK(EncodeRecord(r).size() <= kLeastRecordLimit);
      if (const auto* end = std::get_if<WorkerEmptied>(&r)) {
        suspects += end->suspects.size();
      }
    }
  }
  CHECK(suspects == kMaxRunsOfRecord);
}

// Guards against a unit whose start the log does not take, and that keeps the
// capacity of it from others in every plan.
TEST_CASE("many runs: a gang whose start cannot be stored", "[many_runs]") {
  Rig rig;
  rig.Submit("gang", 3000, /*gang=*/true);
  rig.Submit("later", 8000);
  const auto starts = [](const std::vector<LedgerRecord>& plan) {
    return std::count_if(plan.begin(), plan.end(), [](const LedgerRecord& r) {
      return std::holds_alternative<RunStarted>(r);
    });
  };
  rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "a2",
                                           .process = "p",
                                           .heard_worker = kIdle,
                                           .heard_ago = 0ms});
  REQUIRE(Starts(rig.Plan(), "gang"));
  const std::set<TaskRef> excluded = {{.job = "gang"}};
  const std::vector<LedgerRecord> plan = rig.Plan(&excluded);
  CHECK_FALSE(Starts(plan, "gang"));
  CHECK(starts(plan) == 8000);
}

}  // namespace
}  // namespace marjoramplank
