// Runs that a worker still has and the ledger no longer gives to it: its agent
// was suspended together with the worker, whose leases stood still.

#include <catch2/catch.hpp>

#include <algorithm>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1000};
const Resources kCapacity{.cpu_milli = 8000, .memory_mb = 8000};
constexpr Duration kTick = 20ms;
constexpr Duration kSuspension = 20s;

TaskRef Task(std::int32_t index) {
  return {.job = "j", .index = index};
}

// An agent with its worker. The log can be read while `is_connected`.
struct Rig {
  explicit Rig(const std::string& process)
      : supervisor({.agent = "agent", .process = process}), process(process) {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = process});
    ledger.Apply(now, WorkerReported{.agent = "agent",
                                     .incarnation = kIncarnation,
                                     .service = "s",
                                     .data_centre = "dc",
                                     .capacity = kCapacity});
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    ledger.Apply(
        now,
        JobSubmitted{.request = {.id = "j",
                                 .account = "a",
                                 .payload = "p",
                                 .steps = {{.tasks = 2}},
                                 .terms = {.queue = "q", .service = "s"}}});
  }

  void Order(std::int32_t index, std::int32_t run) {
    REQUIRE(ledger.Apply(
        now, RunStarted{
                 .epoch = 1,
                 .first = Task(index),
                 .run = run,
                 .members = {{.index = index, .incarnation = kIncarnation}}}));
  }
  // The planner takes every lease to have run out.
  void GiveAway() {
    ledger.Apply(now, WorkerEmptied{.incarnation = kIncarnation, .epoch = 1});
    Report();
  }
  void Report() {
    ledger.Apply(now, WorkerReported{.agent = "agent",
                                     .incarnation = kIncarnation,
                                     .service = "s",
                                     .data_centre = "dc",
                                     .capacity = kCapacity});
  }
  void Heartbeat() {
    supervisor.OnHeartbeat(now, {.incarnation = kIncarnation,
                                 .service = "s",
                                 .data_centre = "dc",
                                 .capacity = kCapacity,
                                 .sequence = now.count(),
                                 .clock_ms = WorkerClock()});
  }
  std::int64_t WorkerClock() const { return (now - clock_lag).count(); }
  // Agent and worker stand still.
  void Suspend(Duration duration) {
    now += duration;
    clock_lag += duration;
  }
  void ReadLedger() { supervisor.OnLedger(now, ledger, /*current=*/true, now); }
  void List() {
    now += kTick;
    if (const auto hold = supervisor.NextHold(now)) {
      renewals += hold->lease_until ? 1 : 0;
      NoteLease(hold->lease_until.value_or(0));
      HoldReply reply{.kind = HoldReply::Kind::kOk, .clock_ms = WorkerClock()};
      reply.running = running;
      std::erase_if(ended, [&](const TaskEnded& e) {
        return e.end_number <= hold->acked_end;
      });
      reply.ended = ended;
      supervisor.OnHoldReply(now, *hold, reply);
    }
  }
  void Command() {
    for (const TaskCommand& command : supervisor.TakeCommands(now)) {
      const CommandReply done{.kind = CommandReply::Kind::kDone,
                              .clock_ms = WorkerClock()};
      if (const auto* start = std::get_if<StartCall>(&command)) {
        NoteLease(start->lease_until);
        starts.push_back(*start);
        running.push_back({.task = start->task, .run = start->run});
        supervisor.OnStartReply(now, *start, done);
      } else {
        stops.push_back(std::get<StopCall>(command));
        supervisor.OnStopReply(now, stops.back(), done);
      }
    }
  }
  void NoteLease(std::int64_t lease_until) {
    longest_lease =
        std::max(longest_lease, Duration(lease_until - WorkerClock()));
  }
  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      Heartbeat();
      supervisor.OnAgentHeartbeatStored(now, now);
      ReadLedger();
      Command();
      List();
      Append();
    }
  }
  void Append() {
    for (const LedgerRecord& record : supervisor.TakeRecords(now)) {
      ledger.Apply(now, record);
    }
  }
  // The run ends while the agent does not see it.
  void End(const RunningTask& run, TaskOutcome outcome) {
    Forget(run);
    ended.push_back({.incarnation = kIncarnation,
                     .end_number = ++ends,
                     .task = run.task,
                     .run = run.run,
                     .outcome = outcome});
  }
  void Forget(const RunningTask& gone) {
    std::erase_if(running, [&](const RunningTask& t) {
      return t.task == gone.task && t.run == gone.run;
    });
  }

  Supervisor supervisor;
  std::string process;
  Ledger ledger;
  Time now = 12s;
  Duration clock_lag{0};      // Of the worker's clock, by its suspensions.
  Duration longest_lease{0};  // On the worker's clock.
  std::vector<RunningTask> running;
  std::vector<TaskEnded> ended;  // Listed until acknowledged.
  std::int64_t ends = 0;
  std::vector<StartCall> starts;
  std::vector<StopCall> stops;
  int renewals = 0;
};

// Guards against two runs at once after a suspension of agent and worker.
TEST_CASE("given away: a run that the ledger has given to another worker",
          "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(500ms);
  REQUIRE(rig.running.size() == 1);
  REQUIRE(rig.renewals > 0);
  rig.now += kSuspension;
  rig.GiveAway();
  rig.renewals = 0;
  rig.starts.clear();

  SECTION("is stopped") {
    rig.Run(200ms);
    REQUIRE(rig.stops.size() == 1);
    CHECK(rig.stops[0].task == Task(0));
    CHECK(rig.stops[0].run == 1);
  }
  SECTION("is stopped again if it is still there") {
    rig.Run(2s);
    CHECK(rig.stops.size() == 2);
  }
  SECTION("has no lease renewed") {
    rig.Run(1s);
    CHECK(rig.renewals == 0);
  }
  SECTION("holds up the start of another until it has gone") {
    rig.Run(100ms);
    rig.Order(1, 1);
    rig.Run(400ms);
    CHECK(rig.starts.empty());
    rig.Forget({.task = Task(0)});
    rig.Run(400ms);
    CHECK(rig.starts.size() == 1);
    CHECK(rig.renewals > 0);
  }
  SECTION("is stopped although the ledger orders its next run here") {
    rig.Run(100ms);
    rig.Order(0, 2);
    rig.Run(400ms);
    REQUIRE_FALSE(rig.stops.empty());
    CHECK(rig.stops[0].run == 1);
    rig.Forget({.task = Task(0)});
    rig.Run(400ms);
    REQUIRE(rig.starts.size() == 1);
    CHECK(rig.starts[0].run == 2);
  }
}

// Guards against a lease that is renewed before the agent knows what it missed.
TEST_CASE("given away: an agent that wakes reads the ledger first",
          "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(500ms);
  const Time suspended_at = rig.now;
  rig.now += kSuspension;
  rig.renewals = 0;

  SECTION("a heartbeat that was stored after the pause renews nothing yet") {
    rig.supervisor.OnAgentHeartbeatStored(rig.now, rig.now);
    rig.List();
    CHECK(rig.renewals == 0);
    rig.supervisor.OnLedger(rig.now, rig.ledger, /*current=*/true,
                            suspended_at);
    rig.List();
    CHECK(rig.renewals == 0);
    rig.ReadLedger();
    rig.List();
    CHECK(rig.renewals == 1);
  }
  SECTION("a lease that was decided on before the pause has an end") {
    rig.now = suspended_at;
    rig.Heartbeat();
    rig.supervisor.OnAgentHeartbeatStored(rig.now, rig.now);
    rig.ReadLedger();
    const auto hold = rig.supervisor.NextHold(rig.now + kTick);
    REQUIRE(hold.has_value());
    REQUIRE(hold->lease_until.has_value());
    CHECK(hold->renew_before <= rig.now + kTick + 500ms);
  }
}

// Guards against leases that outlast the planner's wait for them, as the agent
// takes the worker's clock to have run on during a suspension.
TEST_CASE("given away: a suspension makes no lease longer", "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(2s);

  SECTION("of a machine that is suspended for a time") {
    rig.Suspend(kSuspension);
  }
  SECTION("of a worker that is suspended alone") {
    rig.clock_lag += 4s;
  }
  rig.List();  // Its answer tells the clock.
  rig.longest_lease = Duration(0);
  rig.Run(2s);
  rig.Order(1, 1);
  rig.Run(2s);
  CHECK(rig.starts.size() == 2);
  CHECK(rig.longest_lease > LeaseTiming{}.lease_duration - 500ms);
  CHECK(rig.longest_lease <= LeaseTiming{}.lease_duration + 500ms);
}

// Guards against runs that go on beside others while the agent that woke has no
// way to the log yet.
TEST_CASE("given away: an agent that slept for too long stops its runs at once",
          "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(2s);

  SECTION("if the planner may have given them away") {
    rig.Suspend(kSuspension);
    rig.Command();
    REQUIRE(rig.stops.size() == 1);
    CHECK(rig.stops[0].task == Task(0));
    SECTION("once") {
      rig.Command();
      CHECK(rig.stops.size() == 1);
    }
    SECTION("and starts others after it has read the ledger") {
      rig.Forget({.task = Task(0), .run = 1});
      rig.GiveAway();
      rig.Run(100ms);
      rig.Order(1, 1);
      rig.Run(1s);
      CHECK(rig.starts.size() == 2);
      CHECK(rig.stops.size() == 1);
    }
  }
  SECTION("but not if the planner still waits for it") {
    rig.Suspend(LeaseTiming{}.LostAfter() - 1s);
    rig.Command();
    CHECK(rig.stops.empty());
  }
}

// Guards against a lease by a clock that the agent has not read since it woke.
TEST_CASE("given away: an agent that wakes asks for the clock before it renews",
          "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(2s);
  rig.longest_lease = Duration(0);
  // Shorter than what the permission to renew leases lasts.
  rig.Suspend(1500ms);
  rig.renewals = 0;
  rig.List();
  CHECK(rig.renewals == 0);
  rig.Run(200ms);
  CHECK(rig.renewals > 0);
  CHECK(rig.longest_lease <= LeaseTiming{}.lease_duration + 50ms);
}

// Guards against an end that counts as final although its task has started
// again: the machine was suspended before its agent had seen the end, and the
// planner gave the task away.
TEST_CASE("given away: an end that the agent sees too late", "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(2s);
  REQUIRE(rig.running.size() == 1);
  const Duration lease = LeaseTiming{}.MaxLeaseDuration();
  auto outcome = TaskOutcome::kDone;
  SECTION("as done") {}
  SECTION("as failed") {
    outcome = TaskOutcome::kFailed;
  }
  rig.End({.task = Task(0), .run = 1}, outcome);
  rig.Suspend(kSuspension);
  rig.renewals = 0;
  rig.GiveAway();

  SECTION("is not acknowledged while a lease may stand") {
    rig.Order(0, 2);
    rig.Run(lease - 2s);
    CHECK(rig.ended.size() == 1);
    CHECK(rig.renewals == 0);
    CHECK(rig.starts.size() == 1);
    CHECK_FALSE(rig.supervisor.IsAcceptingWork(rig.now));
    SECTION("but then") {
      rig.Run(3s);
      CHECK(rig.ended.empty());
      CHECK(rig.supervisor.IsAcceptingWork(rig.now));
      rig.Order(1, 1);
      rig.Run(1s);
      CHECK(rig.starts.size() == 2);
      CHECK(rig.renewals > 0);
    }
    SECTION("nor by the next process of the agent") {
      rig.supervisor = Supervisor({.agent = "agent", .process = "p2"});
      rig.ledger.Apply(rig.now,
                       AgentHeartbeat{.agent = "agent", .process = "p2"});
      rig.Run(2s);
      CHECK(rig.ended.size() == 1);
      CHECK(rig.renewals == 0);
      rig.Run(lease);
      CHECK(rig.ended.empty());
    }
  }
}

// Guards against a worker that stands idle after an end that its agent saw.
TEST_CASE("given away: an end before the next start is acknowledged at once",
          "[supervisor]") {
  Rig rig("p1");
  rig.Run(100ms);
  rig.Order(0, 1);
  rig.Run(2s);
  rig.End({.task = Task(0), .run = 1}, TaskOutcome::kDone);

  SECTION("of a run that was not given away") {}
  SECTION("of a run that was given away and not started again") {
    rig.Suspend(kSuspension);
    rig.GiveAway();
  }
  rig.Run(500ms);
  CHECK(rig.ended.empty());
  CHECK(rig.supervisor.IsAcceptingWork(rig.now));
  SECTION("which a later process of the agent does not wait for") {
    rig.supervisor = Supervisor({.agent = "agent", .process = "p2"});
    rig.ledger.Apply(rig.now,
                     AgentHeartbeat{.agent = "agent", .process = "p2"});
    rig.Run(500ms);
    CHECK(rig.supervisor.IsAcceptingWork(rig.now));
  }
}

TEST_CASE("given away: a restarted agent lists before it renews",
          "[supervisor]") {
  Rig rig("p2");
  rig.running = {{.task = Task(0)}};
  rig.Order(1, 1);
  rig.Run(60ms);
  CHECK(rig.renewals == 0);
  rig.Run(200ms);
  CHECK(rig.renewals == 0);
  CHECK(rig.stops.size() == 1);
  CHECK(rig.starts.empty());
}

// Guards against a start after a run that ended as done, on a worker that was
// suspended meanwhile.
TEST_CASE("given away: a run that ends as done all the same", "[ledger]") {
  Rig rig("p1");
  rig.Order(0, 1);
  rig.GiveAway();
  const TaskEnded done{
      .incarnation = kIncarnation, .end_number = 1, .task = Task(0), .run = 1};
  const RunUnit& unit = rig.ledger.FindJob("j")->occurrences[0][0].units[0];

  SECTION("is the end of its task, which waits") {
    CHECK(rig.ledger.Apply(rig.now, done));
    CHECK(unit.phase == RunUnit::Phase::kDone);
  }
  SECTION("is the end of its task, whose next run is stopped") {
    rig.Order(0, 2);
    CHECK(rig.ledger.Apply(rig.now, done));
    CHECK(unit.phase == RunUnit::Phase::kDone);
    const LedgerWorker* worker = rig.ledger.FindWorker(kIncarnation);
    REQUIRE(worker->runs.size() == 1);
    CHECK(worker->runs.at(Task(0)).must_stop);
    rig.ledger.Apply(rig.now, TaskEnded{.incarnation = kIncarnation,
                                        .end_number = 2,
                                        .task = Task(0),
                                        .run = 2,
                                        .outcome = TaskOutcome::kStopped});
    CHECK(worker->runs.empty());
    CHECK(unit.phase == RunUnit::Phase::kDone);
  }
  SECTION("counts once") {
    rig.ledger.Apply(rig.now, done);
    CHECK_FALSE(rig.ledger.Apply(rig.now, done));
    CHECK(rig.ledger.FindJob("j")->occurrences[0][0].done_units == 1);
  }
  SECTION("but not if it failed") {
    TaskEnded failed = done;
    failed.outcome = TaskOutcome::kFailed;
    CHECK_FALSE(rig.ledger.Apply(rig.now, failed));
    CHECK(unit.phase == RunUnit::Phase::kWaiting);
  }
}

}  // namespace
}  // namespace marjoramplank
