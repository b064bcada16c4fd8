#include "src/supervisor/supervisor.h"

#include <catch2/catch.hpp>

#include "tests/support/heard_worker.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1000};
const TaskRef kTask{.job = "j"};

WorkerHeartbeat Heartbeat(std::int64_t sequence) {
  return {.incarnation = kIncarnation,
          .service = "s",
          .data_centre = "dc",
          .labels = {"a", "r1"},
          .rack = "r1",
          .capacity = {.cpu_milli = 8000, .memory_mb = 8000, .accelerators = 8},
          .sequence = sequence,
          .clock_ms = 500};
}

JobRequest OneTask() {
  return {.id = "j",
          .account = "a",
          .payload = "p",
          .steps = {{.tasks = 1, .need = {.accelerators = 1}}},
          .terms = {.queue = "q", .service = "s", .max_attempts = 2}};
}

// A ledger that orders the task to start on the worker.
Ledger LedgerWithOrder(Time now) {
  Ledger ledger;
  ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "old"});
  ledger.Apply(now, WorkerReported{.agent = "agent",
                                   .incarnation = kIncarnation,
                                   .service = "s",
                                   .data_centre = "dc",
                                   .rack = "r1",
                                   .labels = {"a", "r1"},
                                   .capacity = Heartbeat(1).capacity});
  ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(now, JobSubmitted{.request = OneTask()});
  ledger.Apply(
      now, RunStarted{.epoch = 1,
                      .first = kTask,
                      .run = 1,
                      .members = {{.index = 0, .incarnation = kIncarnation}}});
  return ledger;
}

Supervisor SupervisorAfterHeartbeat(Time now) {
  Supervisor s({.agent = "agent", .process = "new"});
  Ledger own_heartbeat;
  own_heartbeat.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  s.OnLedger(now, own_heartbeat, /*current=*/false);
  REQUIRE(HearWorker(s, now, Heartbeat(1)));
  s.OnAgentHeartbeatStored(now);
  return s;
}

template <typename T>
std::vector<T> RecordsOfType(const std::vector<LedgerRecord>& records) {
  std::vector<T> out;
  for (const LedgerRecord& r : records) {
    if (const auto* t = std::get_if<T>(&r)) {
      out.push_back(*t);
    }
  }
  return out;
}

TEST_CASE("supervisor: commands from before a restart of the agent",
          "[supervisor]") {
  const Time now = 10s;
  Ledger ledger = LedgerWithOrder(now);
  Supervisor s = SupervisorAfterHeartbeat(now);

  SECTION("nothing is listed or started before the ledger is current") {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
    s.OnLedger(now, ledger, /*current=*/false);
    CHECK_FALSE(s.NextHold(now).has_value());
    CHECK(s.TakeCommands(now).empty());
  }

  SECTION(
      "after the first heartbeat nothing is listed until the ledger is read") {
    Supervisor supervisor({.agent = "agent", .process = "new"});
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
    Ledger without_worker;
    without_worker.Apply(now,
                         AgentHeartbeat{.agent = "agent", .process = "new"});
    supervisor.OnLedger(now, without_worker, /*current=*/true);
    REQUIRE(HearWorker(supervisor, now, Heartbeat(1)));
    CHECK_FALSE(supervisor.NextHold(now).has_value());
    supervisor.OnLedger(now, ledger, /*current=*/true);
    CHECK(supervisor.NextHold(now).has_value());
  }

  SECTION("a task that succeeded while no agent ran") {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
    s.OnLedger(now, ledger, /*current=*/true);
    CHECK(s.TakeCommands(now).empty());
    const std::optional<HoldCall> hold = s.NextHold(now);
    REQUIRE(hold.has_value());
    CHECK(hold->resolves_in_doubt);
    s.OnHoldReply(now, *hold,
                  {.kind = HoldReply::Kind::kOk,
                   .clock_ms = 510,
                   .ended = {{.end_number = 1, .task = kTask, .run = 1}}});
    const std::vector<LedgerRecord> records = s.TakeRecords(now);

    SECTION("is recorded as ended, not as refused") {
      CHECK(RecordsOfType<StartRefused>(records).empty());
      REQUIRE(RecordsOfType<TaskEnded>(records).size() == 1);
    }
    SECTION("is not started again") {
      CHECK(s.TakeCommands(now).empty());
    }
  }
}

TEST_CASE("supervisor: a start that is refused as ended before",
          "[supervisor]") {
  const Time now = 10s;
  Ledger ledger = LedgerWithOrder(now);
  ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  Supervisor s = SupervisorAfterHeartbeat(now);
  s.OnLedger(now, Ledger(), /*current=*/true);
  Ledger with_run = LedgerWithOrder(now);
  with_run.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});

  // The first listing of this process resolves a ledger without the run.
  Ledger without_run;
  without_run.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  s.OnLedger(now, without_run, true);
  const std::optional<HoldCall> first = s.NextHold(now);
  REQUIRE(first.has_value());
  s.OnHoldReply(now, *first, {.kind = HoldReply::Kind::kOk, .clock_ms = 510});
  s.OnLedger(now, with_run, true);
  const std::vector<TaskCommand> orders = s.TakeCommands(now);
  REQUIRE(orders.size() == 1);
  s.OnStartReply(now, std::get<StartCall>(orders[0]),
                 {.kind = CommandReply::Kind::kAlreadyRan, .reason = "old"});

  SECTION("records no refusal before the ends are listed") {
    CHECK(RecordsOfType<StartRefused>(s.TakeRecords(now)).empty());
  }
  SECTION("lists the ends under a higher fencing token") {
    const std::optional<HoldCall> second = s.NextHold(now + 100ms);
    REQUIRE(second.has_value());
    CHECK(second->resolves_in_doubt);
    CHECK(second->fence > first->fence);
  }
}

TEST_CASE("supervisor: an order that is given to the restarted agent",
          "[supervisor]") {
  const Time now = 10s;
  Supervisor s = SupervisorAfterHeartbeat(now);
  // The planner ordered the run after it had read this process's heartbeat.
  Ledger ledger;
  ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  ledger.Apply(now, WorkerReported{.agent = "agent",
                                   .incarnation = kIncarnation,
                                   .service = "s",
                                   .data_centre = "dc",
                                   .rack = "r1",
                                   .labels = {"a", "r1"},
                                   .capacity = Heartbeat(1).capacity});
  ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(now, JobSubmitted{.request = OneTask()});
  ledger.Apply(
      now, RunStarted{.epoch = 1,
                      .first = kTask,
                      .run = 1,
                      .members = {{.index = 0, .incarnation = kIncarnation}}});
  s.OnLedger(now, ledger, /*current=*/true);
  CHECK(s.TakeCommands(now).empty());  // Nothing has been listed yet.
  const std::optional<HoldCall> hold = s.NextHold(now);
  REQUIRE(hold.has_value());
  s.OnHoldReply(now, *hold, {.kind = HoldReply::Kind::kOk, .clock_ms = 510});

  SECTION("is carried out after the first listing") {
    CHECK(RecordsOfType<StartRefused>(s.TakeRecords(now)).empty());
    CHECK(s.TakeCommands(now).size() == 1);
  }
}

TEST_CASE("supervisor: an order that is read after a delay", "[supervisor]") {
  const Time now = 10s;
  Supervisor s = SupervisorAfterHeartbeat(now);
  // The ledger is current and the starts in doubt are resolved.
  Ledger before;
  before.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  before.Apply(now,
               WorkerReported{.agent = "agent", .incarnation = kIncarnation});
  s.OnLedger(now, before, /*current=*/true);
  const std::optional<HoldCall> hold = s.NextHold(now);
  REQUIRE(hold.has_value());
  s.OnHoldReply(now, *hold, {.kind = HoldReply::Kind::kOk, .clock_ms = 510});
  Ledger after = LedgerWithOrder(now);
  after.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});

  SECTION("is refused after a long partition of the agent") {
    const Time later = now + 5s;
    s.OnLedger(later, before, /*current=*/false);
    s.OnAgentHeartbeatStored(later);
    s.OnLedger(later, after, /*current=*/true);
    CHECK(s.TakeCommands(later).empty());
    CHECK(RecordsOfType<StartRefused>(s.TakeRecords(later)).size() == 1);
  }

  SECTION("is carried out soon after the ledger was last current") {
    const Time later = now + 500ms;
    s.OnAgentHeartbeatStored(later);
    s.OnLedger(later, after, /*current=*/true);
    CHECK(s.TakeCommands(later).size() == 1);
  }

  SECTION("is decided again when the process was paused before it was sent") {
    s.OnLedger(now, after, /*current=*/true);
    const std::vector<TaskCommand> commands = s.TakeCommands(now);
    REQUIRE(commands.size() == 1);
    const auto& start = std::get<StartCall>(commands[0]);
    CHECK(start.send_before <= now + 500ms);
    const Time later = now + 5s;
    s.OnStartReply(later, start, {.kind = CommandReply::Kind::kStale});
    s.OnAgentHeartbeatStored(later);
    CHECK(s.TakeCommands(later).empty());
    CHECK(RecordsOfType<StartRefused>(s.TakeRecords(later)).size() == 1);
  }
}

}  // namespace
}  // namespace marjoramplank
