// Guards against tasks that never run again because the one record that ends
// their run was ignored by the ledger, or lost.

#include <catch2/catch.hpp>

#include "src/supervisor/supervisor.h"
#include "tests/support/heard_worker.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kWorker{.id = "w", .started_at_unix_ms = 1000};
const TaskRef kTask{.job = "j"};

// An agent whose worker runs a task. Records reach the ledger while it accepts
// them; the log confirms them all.
struct Rig {
  Rig() {
    Read();
    Beat();
    Read();
    REQUIRE(HearWorker(s, now,
                       {.incarnation = kWorker,
                        .service = "s",
                        .capacity = {.cpu_milli = 8000},
                        .sequence = 1,
                        .clock_ms = 500}));
    Read();
    Store();
    List({.kind = HoldReply::Kind::kOk});
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    ledger.Apply(now, JobSubmitted{.request = {.id = "j",
                                               .account = "a",
                                               .steps = {{.tasks = 1}},
                                               .terms = {.service = "s"}}});
    ledger.Apply(now,
                 RunStarted{.epoch = 1,
                            .first = kTask,
                            .members = {{.index = 0, .incarnation = kWorker}}});
    Read();
    start = std::get<StartCall>(s.TakeCommands(now).at(0));
  }
  void Beat() {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent",
                                     .process = "p",
                                     .process_number = s.process_number()});
  }
  void Read() {
    now += 50ms;
    s.OnAgentHeartbeatStored(now);
    s.OnLedger(now, ledger, /*current=*/true, now);
  }
  void List(HoldReply reply) {
    const auto hold = s.NextHold(now);
    REQUIRE(hold.has_value());
    reply.clock_ms = now.count();
    s.OnHoldReply(now, *hold, reply);
  }
  // Returns the number of records but for reports.
  std::size_t Store() {
    std::size_t out = 0;
    for (const LedgerRecord& r : s.TakeRecords(now)) {
      out += std::holds_alternative<WorkerReported>(r) ? 0 : 1;
      if (accepts) {
        ledger.Apply(now, r);
      }
      s.OnRecordStored(r, now);
    }
    return out;
  }
  bool IsOnWorker() const {
    return ledger.FindWorker(kWorker)->runs.contains(kTask);
  }

  Time now = 10s;
  bool accepts = true;
  Ledger ledger;
  Supervisor s{{.agent = "agent", .process = "p"}};
  StartCall start;
};

TEST_CASE("a record that had no effect is stated again", "[statement]") {
  Rig rig;
  rig.accepts = false;

  SECTION("the end of an incarnation") {
    rig.s.OnStartReply(rig.now, rig.start, {.kind = CommandReply::Kind::kDone});
    rig.List({.kind = HoldReply::Kind::kOk, .running = {{.task = kTask}}});
    rig.s.OnHoldReply(rig.now,
                      {.incarnation = kWorker, .fence = rig.start.fence},
                      {.kind = HoldReply::Kind::kWrongIncarnation});
  }
  SECTION("the end of a task") {
    rig.s.OnStartReply(rig.now, rig.start, {.kind = CommandReply::Kind::kDone});
    rig.List({.kind = HoldReply::Kind::kOk,
              .ended = {{.end_number = 1, .task = kTask}}});
  }
  SECTION("a refused start") {
    rig.s.OnStartReply(rig.now, rig.start,
                       {.kind = CommandReply::Kind::kRefused});
  }
  REQUIRE(rig.Store() == 1);
  rig.Read();
  CHECK(rig.Store() == 0);  // Not at once: the ledger may be behind.

  rig.accepts = true;
  rig.now += UnconfirmedRecords::kRetryInterval;
  rig.Read();
  CHECK(rig.Store() == 1);
  CHECK_FALSE(rig.IsOnWorker());

  // Nor once the ledger shows it.
  rig.now += UnconfirmedRecords::kRetryInterval;
  rig.Read();
  CHECK(rig.Store() == 0);
}

TEST_CASE("a process of an agent has a number above all before",
          "[statement]") {
  Ledger ledger;
  ledger.Apply(10s, AgentHeartbeat{
                        .agent = "agent", .process = "p", .process_number = 6});
  Supervisor s({.agent = "agent", .process = "q", .started_at = 11s});

  SECTION("which is not known from a ledger of before its start") {
    s.OnLedger(11s, ledger, /*current=*/true, /*as_of=*/10900ms);
    CHECK(s.process_number() == 0);
  }
  SECTION("once the ledger was read to its end") {
    s.OnLedger(12s, ledger, /*current=*/true, /*as_of=*/12s);
    CHECK(s.process_number() == 7);
    // The process before had chosen the same, and was stored first.
    ledger.Apply(
        12s,
        AgentHeartbeat{.agent = "agent", .process = "p2", .process_number = 7});
    s.OnLedger(13s, ledger, /*current=*/true, /*as_of=*/13s);
    CHECK(s.process_number() == 8);
  }
}

}  // namespace
}  // namespace marjoramplank
