#include "src/supervisor/supervisor.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

const WorkerLife kLife{.id = "w", .born_ms = 1000};
const TaskRef kTask{.job = "j"};

WorkerHeartbeat Heartbeat(std::int64_t sequence) {
  return {.life = kLife,
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

// A ledger on which the task was ordered to start on the worker.
Ledger Ordered(Time now) {
  Ledger ledger;
  ledger.Apply(now, AgentBeat{.agent = "agent", .process = "old"});
  ledger.Apply(now, WorkerReported{.agent = "agent",
                                   .life = kLife,
                                   .service = "s",
                                   .data_centre = "dc",
                                   .rack = "r1",
                                   .labels = {"a", "r1"},
                                   .capacity = Heartbeat(1).capacity});
  ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(now, JobSubmitted{.request = OneTask()});
  ledger.Apply(now, RunStarted{.epoch = 1,
                               .first = kTask,
                               .run = 1,
                               .members = {{.index = 0, .life = kLife}}});
  return ledger;
}

Supervisor Started(Time now) {
  Supervisor s({.agent = "agent", .process = "new"});
  s.OnHeartbeat(now, Heartbeat(1));
  s.OnBeatStored(now);
  return s;
}

template <typename T>
std::vector<T> Only(const std::vector<LedgerRecord>& records) {
  std::vector<T> out;
  for (const LedgerRecord& r : records) {
    if (const auto* t = std::get_if<T>(&r)) {
      out.push_back(*t);
    }
  }
  return out;
}

TEST_CASE("supervisor: orders of before a restart", "[supervisor]") {
  const Time now = 10s;
  Ledger ledger = Ordered(now);
  Supervisor s = Started(now);

  SECTION("nothing is listed or started before the ledger is known") {
    ledger.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
    s.OnLedger(now, ledger, /*current=*/false);
    CHECK_FALSE(s.NextHold(now).has_value());
    CHECK(s.TakeOrders(now).empty());
  }

  SECTION("nothing is listed between a heartbeat and the next look at it") {
    Supervisor early({.agent = "agent", .process = "new"});
    ledger.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
    early.OnLedger(now, ledger, /*current=*/true);
    early.OnHeartbeat(now, Heartbeat(1));
    CHECK_FALSE(early.NextHold(now).has_value());
    early.OnLedger(now, ledger, /*current=*/true);
    CHECK(early.NextHold(now).has_value());
  }

  SECTION("a task that ended as done while nobody looked") {
    ledger.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
    s.OnLedger(now, ledger, /*current=*/true);
    CHECK(s.TakeOrders(now).empty());
    const std::optional<HoldCall> hold = s.NextHold(now);
    REQUIRE(hold.has_value());
    CHECK(hold->settles);
    s.OnHoldReply(now, *hold,
                  {.kind = HoldReply::Kind::kOk,
                   .clock_ms = 510,
                   .ended = {{.number = 1, .task = kTask, .run = 1}}});
    const std::vector<LedgerRecord> records = s.TakeRecords(now);

    SECTION("is recorded as done, not as refused") {
      CHECK(Only<StartRefused>(records).empty());
      REQUIRE(Only<TaskEnded>(records).size() == 1);
    }
    SECTION("is not started again") {
      CHECK(s.TakeOrders(now).empty());
    }
  }
}

TEST_CASE("supervisor: a start that is refused as ended before",
          "[supervisor]") {
  const Time now = 10s;
  Ledger ledger = Ordered(now);
  ledger.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
  Supervisor s = Started(now);
  s.OnLedger(now, Ledger(), /*current=*/true);
  Ledger known = Ordered(now);
  known.Apply(now, AgentBeat{.agent = "agent", .process = "new"});

  // The listing of the start of this process knows nothing of the run yet.
  Ledger early;
  early.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
  s.OnLedger(now, early, true);
  const std::optional<HoldCall> first = s.NextHold(now);
  REQUIRE(first.has_value());
  s.OnHoldReply(now, *first, {.kind = HoldReply::Kind::kOk, .clock_ms = 510});
  s.OnLedger(now, known, true);
  const std::vector<OrderCall> orders = s.TakeOrders(now);
  REQUIRE(orders.size() == 1);
  s.OnStartReply(now, std::get<StartCall>(orders[0]),
                 {.kind = OrderReply::Kind::kEndedBefore, .reason = "old"});

  SECTION("says nothing until the ends are listed") {
    CHECK(Only<StartRefused>(s.TakeRecords(now)).empty());
  }
  SECTION("asks for the list under a higher fence") {
    const std::optional<HoldCall> second = s.NextHold(now + 100ms);
    REQUIRE(second.has_value());
    CHECK(second->settles);
    CHECK(second->fence > first->fence);
  }
}

TEST_CASE("supervisor: an order that is read late", "[supervisor]") {
  const Time now = 10s;
  Supervisor s = Started(now);
  // Knows the ledger, and has settled what ran before.
  Ledger before;
  before.Apply(now, AgentBeat{.agent = "agent", .process = "new"});
  before.Apply(now, WorkerReported{.agent = "agent", .life = kLife});
  s.OnLedger(now, before, /*current=*/true);
  const std::optional<HoldCall> hold = s.NextHold(now);
  REQUIRE(hold.has_value());
  s.OnHoldReply(now, *hold, {.kind = HoldReply::Kind::kOk, .clock_ms = 510});
  Ledger after = Ordered(now);
  after.Apply(now, AgentBeat{.agent = "agent", .process = "new"});

  SECTION("after the agent was cut off for long is refused") {
    const Time later = now + 5s;
    s.OnLedger(later, before, /*current=*/false);
    s.OnBeatStored(later);
    s.OnLedger(later, after, /*current=*/true);
    CHECK(s.TakeOrders(later).empty());
    CHECK(Only<StartRefused>(s.TakeRecords(later)).size() == 1);
  }

  SECTION("a moment after the last look is carried out") {
    const Time later = now + 500ms;
    s.OnBeatStored(later);
    s.OnLedger(later, after, /*current=*/true);
    CHECK(s.TakeOrders(later).size() == 1);
  }
}

}  // namespace
}  // namespace marjoramplank
