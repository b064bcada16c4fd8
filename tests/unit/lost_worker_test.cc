// When the planner takes a worker for lost because its agent is not heard.

#include <catch2/catch.hpp>

#include <algorithm>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1};
constexpr Duration kPlannerHeartbeat{400};
constexpr Duration kAgentHeartbeat{800};

// A planner that reads the log, and one worker with a task.
struct Rig {
  Rig() {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "p"});
    ledger.Apply(now, WorkerReported{.agent = "agent",
                                     .incarnation = kIncarnation,
                                     .service = "s",
                                     .data_centre = "dc",
                                     .capacity = {.cpu_milli = 8000}});
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    ledger.Apply(
        now,
        JobSubmitted{.request = {.id = "j",
                                 .account = "a",
                                 .payload = "p",
                                 .steps = {{.tasks = 1}},
                                 .terms = {.queue = "q", .service = "s"}}});
    REQUIRE(ledger.Apply(
        now,
        RunStarted{.epoch = 1,
                   .first = {.job = "j"},
                   .members = {{.index = 0, .incarnation = kIncarnation}}}));
  }

  // The log works; the agent is heard or not.
  void Run(Duration duration, bool agent_is_heard) {
    for (const Time end = now + duration; now < end;) {
      now += kPlannerHeartbeat;
      ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
      if (agent_is_heard && now.count() % kAgentHeartbeat.count() == 0) {
        ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "p"});
      }
    }
  }
  bool IsLost() const {
    RulesView rules;
    const auto plan = Dispatcher({}).Plan(
        {.now = now, .epoch = 1, .ledger = ledger, .rules = rules});
    return std::any_of(plan.begin(), plan.end(), [](const LedgerRecord& r) {
      return std::holds_alternative<WorkerEmptied>(r);
    });
  }

  Time now = 100s;
  Ledger ledger;
  Duration lost_after = LeaseTiming{}.LostAfter();
};

// Guards against work that is given away although its agent had no chance to be
// heard.
TEST_CASE("lost worker: time in which the planner hears nobody does not count",
          "[dispatcher]") {
  Rig rig;
  rig.Run(4s, /*agent_is_heard=*/true);

  SECTION("a silent agent's worker is lost once every lease has run out") {
    rig.Run(rig.lost_after - 1s, false);
    CHECK_FALSE(rig.IsLost());
    rig.Run(2s, false);
    CHECK(rig.IsLost());
  }
  SECTION("no worker is lost while the log is down") {
    rig.now += 60s;
    CHECK_FALSE(rig.IsLost());
  }
  SECTION("after an outage the agent has as long as without one") {
    constexpr Duration kOutage{6000};
    rig.now += kOutage;
    rig.Run(rig.lost_after - 2s, false);
    CHECK_FALSE(rig.IsLost());
    rig.Run(3s, false);
    CHECK(rig.IsLost());
  }
  SECTION("several short outages do not count either") {
    for (int n = 0; n < 4; ++n) {
      rig.now += 3s;
      rig.Run(400ms, false);
    }
    CHECK_FALSE(rig.IsLost());
  }
  SECTION("an agent that is heard after an outage keeps its worker") {
    rig.now += 30s;
    rig.Run(rig.lost_after * 2, true);
    CHECK_FALSE(rig.IsLost());
  }
  SECTION("a restored planner counts from its start") {
    const auto restored = LedgerSnapshot::Load(
        rig.now + 60s, LedgerSnapshot::Save(rig.ledger, 9));
    REQUIRE(restored.has_value());
    rig.ledger = restored->ledger;
    rig.now += 60s;
    rig.Run(rig.lost_after - 1s, false);
    CHECK_FALSE(rig.IsLost());
    rig.Run(2s, false);
    CHECK(rig.IsLost());
  }
}

// Guards against tasks of a machine that is gone that start again too late for
// whoever asks for them, on a platform that permits long leases.
TEST_CASE("lost worker: the wait for a silent agent has a bound",
          "[dispatcher]") {
  // Within which the platform's rules want a job to run again.
  constexpr Duration kFinishTime = 14s;
  for (const Duration max_lease : {4s, 6s, 10s, 30s}) {
    const LeaseTiming leases = LeaseTiming::ForMaxLease(max_lease);
    CAPTURE(max_lease.count());
    CHECK(leases.MaxLeaseDuration() < max_lease);
    CHECK(leases.LostAfter() <= kFinishTime);
  }
}

}  // namespace
}  // namespace marjoramplank
