// A task that crashes each worker that starts it, and its neighbours there.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/supervisor/supervisor.h"
#include "tests/support/heard_worker.h"

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

// The worker crashes right after it has started the suspects, and returns at
// once as the same incarnation, which keeps the test short.
void Crash(Ledger& ledger, int worker, const std::vector<RunRef>& suspects) {
  ledger.Apply(kNow, WorkerEmptied{.incarnation = MakeIncarnation(worker),
                                   .crashed = true,
                                   .suspects = suspects});
  ledger.Apply(kNow, Report(worker));
}

void StartAndCrash(Ledger& ledger,
                   const std::string& job,
                   std::int32_t run,
                   int worker) {
  Start(ledger, kNow, job, run, worker);
  Crash(ledger, worker, {{.task = {.job = job}, .run = run}});
}

JobPhase PhaseOf(const Ledger& ledger, const std::string& job) {
  return ledger.FindJob(job)->phase;
}

// What is started at `now`, while every agent hears its worker.
std::vector<RunStarted> Starts(Ledger ledger, Time now) {
  for (int n = 0; n < kWorkers; ++n) {
    ledger.Apply(now, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                     .process = "p",
                                     .heard_worker = MakeIncarnation(n),
                                     .heard_ago = Duration(0)});
  }
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

bool HasStartOn(const std::vector<RunStarted>& starts, int worker) {
  return std::any_of(starts.begin(), starts.end(), [&](const RunStarted& s) {
    return s.members[0].incarnation == MakeIncarnation(worker);
  });
}

// Guards against a task that is started again after each worker it crashes.
TEST_CASE("a task under which three workers have crashed fails its job",
          "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "deadly");
  for (int run = 1; run <= 2; ++run) {
    StartAndCrash(ledger, "deadly", run, run);
  }
  REQUIRE(PhaseOf(ledger, "deadly") == JobPhase::kRunning);

  SECTION("the third crash ends it") {
    StartAndCrash(ledger, "deadly", 3, 3);
    CHECK(PhaseOf(ledger, "deadly") == JobPhase::kFailed);
    CHECK(Starts(ledger, kNow).empty());
  }
  SECTION("a crash for which its agent does not name the run does not count") {
    Start(ledger, kNow, "deadly", 3, 3);
    Crash(ledger, 3, {});
    CHECK(PhaseOf(ledger, "deadly") == JobPhase::kRunning);
  }
  SECTION("nor does one that names an earlier run") {
    Start(ledger, kNow, "deadly", 3, 3);
    Crash(ledger, 3, {{.task = {.job = "deadly"}, .run = 2}});
    CHECK(PhaseOf(ledger, "deadly") == JobPhase::kRunning);
  }
  SECTION("the count outlives the planner that learned it") {
    auto restored = LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
    REQUIRE(restored);
    StartAndCrash(restored->ledger, "deadly", 3, 3);
    CHECK(PhaseOf(restored->ledger, "deadly") == JobPhase::kFailed);
  }
  SECTION("a crash is told apart on the log") {
    const WorkerEmptied record{
        .incarnation = MakeIncarnation(1),
        .incarnation_ended = true,
        .crashed = true,
        .suspects = {{.task = {.job = "j", .index = 2}, .run = 4}},
        .reason = "r"};
    CHECK(DecodeRecord(EncodeRecord(record)) == LedgerRecord(record));
  }
}

// Guards against a task that is blamed for workers that go down by themselves.
TEST_CASE("only sound machines are evidence against a task", "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "task");

  SECTION("one that goes down and up three times counts once") {
    for (int run = 1; run <= 3; ++run) {
      StartAndCrash(ledger, "task", run, 1);
    }
    CHECK(PhaseOf(ledger, "task") == JobPhase::kRunning);
    SECTION("the third machine ends the job") {
      StartAndCrash(ledger, "task", 4, 2);
      REQUIRE(PhaseOf(ledger, "task") == JobPhase::kRunning);
      StartAndCrash(ledger, "task", 5, 3);
      CHECK(PhaseOf(ledger, "task") == JobPhase::kFailed);
    }
    SECTION("so do five crashes of one that never crashes without the task") {
      StartAndCrash(ledger, "task", 4, 1);
      REQUIRE(PhaseOf(ledger, "task") == JobPhase::kRunning);
      StartAndCrash(ledger, "task", 5, 1);
      CHECK(PhaseOf(ledger, "task") == JobPhase::kFailed);
    }
    SECTION("but not of one that crashes while it is idle") {
      Crash(ledger, 1, {});
      for (int run = 4; run <= 6; ++run) {
        StartAndCrash(ledger, "task", run, 1);
      }
      CHECK(PhaseOf(ledger, "task") == JobPhase::kRunning);
    }
  }
  SECTION("one that crashes while it is idle does not count") {
    Crash(ledger, 3, {});
    for (int run = 1; run <= 3; ++run) {
      StartAndCrash(ledger, "task", run, run);
    }
    CHECK(PhaseOf(ledger, "task") == JobPhase::kRunning);
    SECTION("which a snapshot keeps") {
      auto restored =
          LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
      REQUIRE(restored);
      StartAndCrash(restored->ledger, "task", 4, 3);
      CHECK(PhaseOf(restored->ledger, "task") == JobPhase::kRunning);
    }
    SECTION("until the task has crashed workers five times") {
      StartAndCrash(ledger, "task", 4, 3);
      REQUIRE(PhaseOf(ledger, "task") == JobPhase::kRunning);
      StartAndCrash(ledger, "task", 5, 3);
      CHECK(PhaseOf(ledger, "task") == JobPhase::kFailed);
    }
  }
  SECTION("nor does one that crashes under another task") {
    AddJob(ledger, "other");
    StartAndCrash(ledger, "other", 1, 3);
    for (int run = 1; run <= 3; ++run) {
      StartAndCrash(ledger, "task", run, run);
    }
    CHECK(PhaseOf(ledger, "task") == JobPhase::kRunning);
  }
  SECTION("unless that task crashes other machines too") {
    AddJob(ledger, "other");
    for (int run = 1; run <= 2; ++run) {
      StartAndCrash(ledger, "other", run, run);
    }
    for (int run = 1; run <= 3; ++run) {
      StartAndCrash(ledger, "task", run, run);
    }
    CHECK(PhaseOf(ledger, "task") == JobPhase::kFailed);
  }
  SECTION("a record that is read twice counts once") {
    for (int run = 1; run <= 2; ++run) {
      StartAndCrash(ledger, "task", run, run);
    }
    const WorkerEmptied record{.incarnation = MakeIncarnation(2),
                               .incarnation_ended = true,
                               .crashed = true};
    ledger.Apply(kNow, record);
    ledger.Apply(kNow, record);
    CHECK(ledger.FindAgent("a2")->crashes.size() == 2);
  }
}

// Guards against work for a worker that goes down and up.
TEST_CASE("a machine whose workers crash is kept out for a growing time",
          "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "other", 8 * kWorkers);

  SECTION("after one crash for a short time") {
    Crash(ledger, 1, {});
    CHECK_FALSE(HasStartOn(Starts(ledger, kNow + 1s), 1));
    CHECK(HasStartOn(Starts(ledger, kNow + 1500ms), 1));
  }
  SECTION("after more crashes for longer, up to a bound") {
    for (int n = 0; n < 9; ++n) {
      Crash(ledger, 1, {});
    }
    CHECK_FALSE(HasStartOn(Starts(ledger, kNow + 5s), 1));
    CHECK(HasStartOn(Starts(ledger, kNow + 6s), 1));
    SECTION("also counted by a process that has loaded a snapshot") {
      auto restored =
          LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
      REQUIRE(restored);
      Crash(restored->ledger, 1, {});
      CHECK_FALSE(HasStartOn(Starts(restored->ledger, kNow + 5s), 1));
    }
    SECTION("not for crashes of unknown age") {
      ledger.ForgetLiveness();
      CHECK(HasStartOn(Starts(ledger, kNow), 1));
    }
    SECTION("a run that is done there ends the series") {
      AddJob(ledger, "done");
      Start(ledger, kNow, "done", 1, 1);
      ledger.Apply(kNow, TaskEnded{.incarnation = MakeIncarnation(1),
                                   .end_number = 1,
                                   .task = {.job = "done"}});
      CHECK(HasStartOn(Starts(ledger, kNow + 1s), 1));
    }
  }
  SECTION("a task prefers a machine that has not crashed under it") {
    Ledger small = Cluster(2);
    AddJob(small, "task");
    StartAndCrash(small, "task", 1, 0);
    const auto starts = Starts(small, kNow + 7s);
    REQUIRE(starts.size() == 1);
    CHECK(HasStartOn(starts, 1));
  }
}

// Guards against neighbours that are blamed for the crashes of another task.
TEST_CASE("a task under which two workers have crashed runs on trial",
          "[crash]") {
  Ledger ledger = Cluster();
  AddJob(ledger, "suspect");
  for (int run = 1; run <= 2; ++run) {
    StartAndCrash(ledger, "suspect", run, run);
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
  SECTION("nothing joins it until it has run for a while") {
    Start(ledger, kNow, "suspect", 3, 3);
    AddJob(ledger, "other", 8 * kWorkers);
    const auto starts = Starts(ledger, kNow + 1s);
    REQUIRE_FALSE(starts.empty());
    CHECK_FALSE(HasStartOn(starts, 3));
    CHECK(HasStartOn(Starts(ledger, kNow + 3s), 3));
  }
  SECTION("it does not join tasks that have just started") {
    for (int n = 0; n < kWorkers; ++n) {
      AddJob(ledger, "fresh" + std::to_string(n));
      Start(ledger, kNow, "fresh" + std::to_string(n), 1, n);
    }
    CHECK(Starts(ledger, kNow + 1s).empty());
    CHECK(Starts(ledger, kNow + 2500ms).size() == 1);
  }
  SECTION("the worker that is settled next is kept free for it") {
    for (int n = 0; n < kWorkers; ++n) {
      AddJob(ledger, "fresh" + std::to_string(n));
      Start(ledger, kNow + (n == 3 ? 0ms : 500ms), "fresh" + std::to_string(n),
            1, n);
    }
    AddJob(ledger, "other", 8 * kWorkers);
    const auto starts = Starts(ledger, kNow + 1s);
    REQUIRE_FALSE(starts.empty());
    CHECK_FALSE(HasStartOn(starts, 3));
  }
  SECTION("trials occupy a quarter of the workers at most") {
    AddJob(ledger, "second");
    for (int run = 1; run <= 2; ++run) {
      StartAndCrash(ledger, "second", run, run);
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
  s.OnLedger(now, ledger, /*current=*/false);

  SECTION("a new incarnation of a worker that was heard: a crash") {
    REQUIRE(HearWorker(s, now, Heartbeat(1, /*leaving=*/false)));
    REQUIRE(HearWorker(s, now + 3s, Heartbeat(2, /*leaving=*/false)));
    const auto ends = EndsOf(s, now + 3s);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].crashed);
    CHECK(ends[0].incarnation.started_at_unix_ms == 1);
  }
  SECTION("a worker that was about to leave: no crash") {
    REQUIRE(HearWorker(s, now, Heartbeat(1, /*leaving=*/true)));
    REQUIRE(HearWorker(s, now + 3s, Heartbeat(2, /*leaving=*/false)));
    const auto ends = EndsOf(s, now + 3s);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
  SECTION("a worker that announces its end: no crash") {
    REQUIRE(HearWorker(s, now, Heartbeat(1, /*leaving=*/false)));
    s.OnDeparture("w0");
    s.OnHoldReply(now, {.incarnation = {.id = "w0", .started_at_unix_ms = 1}},
                  {.kind = HoldReply::Kind::kConnectionRefused});
    const auto ends = EndsOf(s, now);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
  SECTION("a worker that only an earlier process has heard: not known") {
    s.OnLedger(now, ledger, /*current=*/true);  // Takes what is recorded.
    REQUIRE(HearWorker(s, now + 1s, Heartbeat(2, /*leaving=*/false)));
    const auto ends = EndsOf(s, now + 1s);
    REQUIRE(ends.size() == 1);
    CHECK_FALSE(ends[0].crashed);
  }
}

// An agent whose ledger orders one task, with a worker that it has heard.
struct OrderedRun {
  OrderedRun() {
    ledger.Apply(now, AgentHeartbeat{.agent = "a0", .process = "p"});
    AddJob(ledger, "j");
    Start(ledger, now, "j", 1, 0);
    s.OnHeartbeat(now, Heartbeat(1, /*leaving=*/false));
    s.OnAgentHeartbeatStored(now);
    s.OnLedger(now, ledger, /*current=*/true);
    s.OnHoldReply(now, *s.NextHold(now), {.kind = HoldReply::Kind::kOk});
    start = std::get<StartCall>(s.TakeCommands(now).at(0));
  }

  std::vector<RunRef> SuspectsOfReturn(Time at) {
    REQUIRE(HearWorker(s, at, Heartbeat(2, /*leaving=*/false)));
    // The agent asks first whether the new incarnation has got its start.
    if (const auto hold = s.NextHold(at); hold && hold->settles_late_starts) {
      REQUIRE(EndsOf(s, at).empty());
      s.OnHoldReply(at, *hold, {.kind = HoldReply::Kind::kOk});
    }
    const auto ends = EndsOf(s, at);
    REQUIRE(ends.size() == 1);
    REQUIRE(ends[0].crashed);
    return ends[0].suspects;
  }

  Time now = kNow;
  Ledger ledger = Cluster(1);
  Supervisor s{{.agent = "a0", .process = "p"}};
  StartCall start;
};

// Guards against tasks that are blamed for a crash that they cannot have
// caused.
TEST_CASE("an agent names the runs that may have crashed its worker",
          "[crash]") {
  OrderedRun run;
  const std::vector<RunRef> expected = {{.task = {.job = "j"}, .run = 1}};

  SECTION("one that was started just before") {
    run.s.OnStartReply(kNow, run.start, {.kind = CommandReply::Kind::kDone});
    CHECK(run.SuspectsOfReturn(kNow + 1s) == expected);
  }
  SECTION("one whose start had no answer") {
    run.s.OnStartReply(kNow, run.start, {});
    CHECK(run.SuspectsOfReturn(kNow + 1s) == expected);
  }
  SECTION("one whose answer is still awaited") {
    CHECK(run.SuspectsOfReturn(kNow + 1s) == expected);
  }
  SECTION("not one that had run for a while") {
    run.s.OnStartReply(kNow, run.start, {.kind = CommandReply::Kind::kDone});
    run.s.OnHeartbeat(kNow + 5s, Heartbeat(1, /*leaving=*/false));
    CHECK(run.SuspectsOfReturn(kNow + 6s).empty());
  }
  SECTION("not one whose start was refused with the connection") {
    run.s.OnStartReply(kNow, run.start,
                       {.kind = CommandReply::Kind::kConnectionRefused});
    CHECK(run.SuspectsOfReturn(kNow + 1s).empty());
  }
  SECTION("not one that the next incarnation has rejected") {
    run.s.OnStartReply(kNow, run.start,
                       {.kind = CommandReply::Kind::kWrongIncarnation});
    const auto ends = EndsOf(run.s, kNow);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].crashed);
    CHECK(ends[0].suspects.empty());
  }
}

}  // namespace
}  // namespace marjoramplank
