// A worker whose capacity shrinks and grows while it runs.

#include <catch2/catch.hpp>
#include <string>

#include "src/dispatch/dispatcher.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1};
constexpr std::int64_t kCoreMilli = 1000;

Resources Cores(std::int64_t n) {
  return {.cpu_milli = n * kCoreMilli, .memory_mb = 8000, .accelerators = 8};
}

WorkerReported Report(std::int64_t cores) {
  return {.agent = "agent",
          .incarnation = kIncarnation,
          .service = "s",
          .data_centre = "d",
          .rack = "r",
          .capacity = Cores(cores)};
}

// Jobs of one task that needs four cores; the first `running` of them run.
Ledger LedgerWithJobs(int jobs, int running) {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p"});
  ledger.Apply(kNow, Report(8));
  for (int n = 0; n < jobs; ++n) {
    const std::string id = "j" + std::to_string(n);
    ledger.Apply(
        kNow,
        JobSubmitted{
            .request = {.id = id,
                        .account = "a",
                        .payload = "p",
                        .steps = {{.need = {.cpu_milli = 4 * kCoreMilli}}},
                        .terms = {.queue = "q", .service = "s"}}});
    if (n < running) {
      ledger.Apply(kNow,
                   RunStarted{.epoch = 1,
                              .first = {.job = id},
                              .members = {{.incarnation = kIncarnation}}});
    }
  }
  return ledger;
}

std::size_t CountStarts(const Ledger& ledger) {
  const RulesView rules;
  std::size_t n = 0;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    n += std::holds_alternative<RunStarted>(r) ? 1 : 0;
  }
  return n;
}

// Guards against starts that exceed the capacity of a worker that does not
// refuse them.
TEST_CASE("planner: the capacity of a worker changes", "[capacity]") {
  Ledger ledger = LedgerWithJobs(/*jobs=*/3, /*running=*/1);
  REQUIRE(CountStarts(ledger) == 1);

  SECTION("it shrinks below what runs: nothing is started") {
    ledger.Apply(kNow, Report(2));
    CHECK(CountStarts(ledger) == 0);
  }
  SECTION("what is being stopped still counts") {
    ledger.Apply(kNow, Report(4));
    ledger.Apply(kNow, JobCancelled{.job = "j0"});
    CHECK(CountStarts(ledger) == 0);
  }
  SECTION("it grows again: its room is used") {
    ledger.Apply(kNow, Report(2));
    ledger.Apply(kNow, Report(12));
    CHECK(CountStarts(ledger) == 2);
  }
}

struct Rig {
  explicit Rig(const Ledger& l) : ledger(l) { Hear(8); }

  void Hear(std::int64_t cores) {
    supervisor.OnHeartbeat(kNow, {.incarnation = kIncarnation,
                                  .service = "s",
                                  .data_centre = "d",
                                  .rack = "r",
                                  .capacity = Cores(cores),
                                  .sequence = ++sequence,
                                  .clock_ms = 500});
    supervisor.OnAgentHeartbeatStored(kNow);
    supervisor.OnLedger(kNow, ledger, /*current=*/true);
    if (const auto hold = supervisor.NextHold(kNow)) {
      supervisor.OnHoldReply(kNow, *hold, {.kind = HoldReply::Kind::kOk});
    }
  }

  std::size_t CountRefusals() {
    std::size_t n = 0;
    for (const LedgerRecord& r : supervisor.TakeRecords(kNow)) {
      n += std::holds_alternative<StartRefused>(r) ? 1 : 0;
    }
    return n;
  }

  Ledger ledger;
  Supervisor supervisor{{.agent = "agent", .process = "p"}};
  std::int64_t sequence = 0;
};

TEST_CASE("agent: the capacity of its worker changes", "[capacity]") {
  SECTION("orders that fit are started") {
    Rig rig(LedgerWithJobs(/*jobs=*/2, /*running=*/2));
    CHECK(rig.supervisor.TakeCommands(kNow).size() == 2);
    CHECK(rig.CountRefusals() == 0);
  }
  SECTION("it has shrunk since the orders were decided: the rest is refused") {
    Rig rig(LedgerWithJobs(/*jobs=*/2, /*running=*/2));
    rig.Hear(4);
    CHECK(rig.supervisor.TakeCommands(kNow).size() == 1);
    CHECK(rig.CountRefusals() == 1);
  }
  SECTION("it shrinks and grows again before they are sent: all are started") {
    Rig rig(LedgerWithJobs(/*jobs=*/2, /*running=*/2));
    rig.Hear(4);
    rig.Hear(8);
    CHECK(rig.supervisor.TakeCommands(kNow).size() == 2);
  }
}

}  // namespace
}  // namespace marjoramplank
