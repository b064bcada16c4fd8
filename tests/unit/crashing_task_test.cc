// A task that crashes each worker that starts it, and its neighbours there.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr int kWorkers = 4;
const Resources kCapacity{.cpu_milli = 64'000,
                          .memory_mb = 64'000,
                          .accelerators = 8};

WorkerIncarnation MakeIncarnation(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
}

WorkerReported Report(int n) {
  return {.agent = "a" + std::to_string(n),
          .incarnation = MakeIncarnation(n),
          .service = "s",
          .data_centre = "d",
          .rack = "r",
          .capacity = kCapacity};
}

Ledger Cluster(int workers = kWorkers) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < workers; ++n) {
    ledger.Apply(kNow, Report(n));
  }
  return ledger;
}

void AddJob(Ledger& ledger, const std::string& id, std::int32_t tasks = 1) {
  ledger.Apply(
      kNow, JobSubmitted{.request = {.id = id,
                                     .account = "a",
                                     .payload = "p",
                                     .steps = {{.tasks = tasks,
                                                .need = {.accelerators = 1}}},
                                     .terms = {.queue = "q",
                                               .service = "s",
                                               .max_attempts = 2,
                                               .stretch = 2}}});
}

void Start(Ledger& ledger,
           Time now,
           const std::string& job,
           std::int32_t run,
           int worker) {
  REQUIRE(ledger.Apply(
      now, RunStarted{.epoch = 1,
                      .first = {.job = job},
                      .run = run,
                      .members = {{.incarnation = MakeIncarnation(worker)}}}));
}

// The worker crashes and returns at once as the same incarnation, which keeps
// the test short.
void Crash(Ledger& ledger, int worker, bool crashed = true) {
  ledger.Apply(kNow, WorkerEmptied{.incarnation = MakeIncarnation(worker),
                                   .crashed = crashed});
  ledger.Apply(kNow, Report(worker));
}

JobPhase PhaseOf(const Ledger& ledger, const std::string& job) {
  return ledger.FindJob(job)->phase;
}

std::vector<RunStarted> Starts(const Ledger& ledger, Time now) {
  const RulesView rules;
  std::vector<RunStarted> out;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = now, .epoch = 1, .ledger = ledger, .rules = rules})) {
    if (const auto* start = std::get_if<RunStarted>(&r)) {
      out.push_back(*start);
    }
  }
  return out;
}

// Guards against a task that is started again after each worker it crashes.
TEST_CASE("a task under which three workers have crashed fails its job",
          "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "deadly");
  for (int run = 1; run <= 2; ++run) {
    Start(ledger, kNow, "deadly", run, run);
    Crash(ledger, run);
  }
  REQUIRE(PhaseOf(ledger, "deadly") == JobPhase::kRunning);

  SECTION("the third crash ends it") {
    Start(ledger, kNow, "deadly", 3, 3);
    Crash(ledger, 3);
    CHECK(PhaseOf(ledger, "deadly") == JobPhase::kFailed);
    CHECK(Starts(ledger, kNow).empty());
  }
  SECTION("a worker that leaves or is lost with its machine does not count") {
    Start(ledger, kNow, "deadly", 3, 3);
    Crash(ledger, 3, /*crashed=*/false);
    CHECK(PhaseOf(ledger, "deadly") == JobPhase::kRunning);
  }
  SECTION("the count outlives the planner that learned it") {
    auto restored = LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
    REQUIRE(restored);
    Start(restored->ledger, kNow, "deadly", 3, 3);
    Crash(restored->ledger, 3);
    CHECK(PhaseOf(restored->ledger, "deadly") == JobPhase::kFailed);
  }
  SECTION("a crash is told apart on the log") {
    const WorkerEmptied record{.incarnation = MakeIncarnation(1),
                               .incarnation_ended = true,
                               .crashed = true,
                               .reason = "r"};
    CHECK(DecodeRecord(EncodeRecord(record)) == LedgerRecord(record));
  }
}

// Guards against neighbours that are blamed for the crashes of another task.
TEST_CASE("a task under which two workers have crashed runs on trial",
          "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "suspect");
  for (int run = 1; run <= 2; ++run) {
    Start(ledger, kNow, "suspect", run, run);
    Crash(ledger, run);
  }

  SECTION("nothing is started beside it in the same plan") {
    AddJob(ledger, "other", 3);
    const std::vector<RunStarted> starts = Starts(ledger, kNow + 1s);
    REQUIRE(starts.size() == 4);
    std::vector<WorkerIncarnation> others;
    WorkerIncarnation host;
    for (const RunStarted& s : starts) {
      if (s.first.job == "suspect") {
        host = s.members[0].incarnation;
      } else {
        others.push_back(s.members[0].incarnation);
      }
    }
    CHECK(std::find(others.begin(), others.end(), host) == others.end());
  }
  SECTION("nothing joins it while it runs") {
    Start(ledger, kNow, "suspect", 3, 3);
    AddJob(ledger, "other", 8 * kWorkers);
    for (const RunStarted& s : Starts(ledger, kNow + 5s)) {
      CHECK(s.members[0].incarnation != MakeIncarnation(3));
    }
  }
  SECTION("it does not join a task that has just started") {
    AddJob(ledger, "fresh");
    for (int n = 0; n < kWorkers; ++n) {
      AddJob(ledger, "fresh" + std::to_string(n));
      Start(ledger, kNow, "fresh" + std::to_string(n), 1, n);
    }
    CHECK(Starts(ledger, kNow + 200ms).size() == 1);  // "fresh" only.
    CHECK(Starts(ledger, kNow + 1s).size() == 2);
  }
  SECTION("trials occupy a quarter of the workers at most") {
    AddJob(ledger, "second");
    for (int run = 1; run <= 2; ++run) {
      Start(ledger, kNow, "second", run, run);
      Crash(ledger, run);
    }
    CHECK(Starts(ledger, kNow + 1s).size() == 1);
  }
}

WorkerHeartbeat Heartbeat(std::int64_t started_at, bool leaving) {
  return {.incarnation = {.id = "w0", .started_at_unix_ms = started_at},
          .service = "s",
          .data_centre = "d",
          .rack = "r",
          .capacity = kCapacity,
          .leaving = leaving,
          .sequence = started_at,
          .clock_ms = 500};
}

std::vector<WorkerEmptied> EndsOf(Supervisor& s, Time now) {
  std::vector<WorkerEmptied> out;
  for (const LedgerRecord& r : s.TakeRecords(now)) {
    if (const auto* emptied = std::get_if<WorkerEmptied>(&r)) {
      out.push_back(*emptied);
    }
  }
  return out;
}

TEST_CASE("an agent tells a crash of its worker from other ends", "[crash]") {
  const Time now = 10s;
  Ledger ledger = Cluster(1);
  ledger.Apply(now, AgentHeartbeat{.agent = "a0", .process = "p"});
  Supervisor s({.agent = "a0", .process = "p"});

  SECTION("a new incarnation of a worker that was heard: a crash") {
    s.OnHeartbeat(now, Heartbeat(1, /*leaving=*/false));
    s.OnHeartbeat(now + 3s, Heartbeat(2, /*leaving=*/false));
    const auto ends = EndsOf(s, now + 3s);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].crashed);
    CHECK(ends[0].incarnation.started_at_unix_ms == 1);
  }
  SECTION("a worker that was about to leave: no crash") {
    s.OnHeartbeat(now, Heartbeat(1, /*leaving=*/true));
    s.OnHeartbeat(now + 3s, Heartbeat(2, /*leaving=*/false));
    const auto ends = EndsOf(s, now + 3s);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
  SECTION("a worker that announces its end: no crash") {
    s.OnHeartbeat(now, Heartbeat(1, /*leaving=*/false));
    s.OnDeparture(now, "w0");
    const auto ends = EndsOf(s, now);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
  SECTION("a worker that only an earlier process has heard: not known") {
    s.OnLedger(now, ledger, /*current=*/true);  // Takes what is recorded.
    s.OnHeartbeat(now + 1s, Heartbeat(2, /*leaving=*/false));
    const auto ends = EndsOf(s, now + 1s);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
  SECTION("a run that was not sent to it is refused first") {
    AddJob(ledger, "waiting");
    Start(ledger, now, "waiting", 1, 0);
    s.OnHeartbeat(now, Heartbeat(1, /*leaving=*/false));
    s.OnLedger(now, ledger, /*current=*/true);
    s.OnHeartbeat(now + 3s, Heartbeat(2, /*leaving=*/false));
    for (const LedgerRecord& r : s.TakeRecords(now + 3s)) {
      ledger.Apply(now + 3s, r);
    }
    const LedgerJob* job = ledger.FindJob("waiting");
    CHECK(job->occurrences[0][0].units[0].MaxCrashes() == 0);
  }
}

}  // namespace
}  // namespace marjoramplank
