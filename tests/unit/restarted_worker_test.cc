// A worker that restarts under its id: calls name the id alone, so the new
// incarnation may have got a start that was meant for the one before.

#include <catch2/catch.hpp>

#include "src/jobs/ledger_snapshot.h"
#include "src/supervisor/supervisor.h"
#include "tests/support/heard_worker.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kWorker{.id = "w", .started_at_unix_ms = 1000};
const TaskRef kTask{.job = "j"};
constexpr std::int64_t kNextBorn = 9000;

// An agent that has been ordered to start a task on a worker that it has heard.
struct Rig {
  Rig() {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "p"});
    Read();
    REQUIRE(HearWorker(s, now,
                       {.incarnation = kWorker,
                        .service = "s",
                        .data_centre = "dc",
                        .rack = "r1",
                        .capacity = {.cpu_milli = 8000, .accelerators = 8},
                        .sequence = 1,
                        .clock_ms = 500}));
    Read();
    for (const LedgerRecord& r : s.TakeRecords(now)) {
      ledger.Apply(now, r);
    }
    List({.kind = HoldReply::Kind::kOk, .started_at_unix_ms = 1000});
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    Order("j");
    Read();
    sent_at = now;
    start = std::get<StartCall>(s.TakeCommands(now).at(0));
  }

  void Read() {
    now += 50ms;
    s.OnAgentHeartbeatStored(now);
    s.OnLedger(now, ledger, /*current=*/true);
  }
  // The next listing, and its reply.
  HoldCall List(const HoldReply& reply) {
    now += 100ms;
    const auto hold = s.NextHold(now);
    REQUIRE(hold.has_value());
    s.OnHoldReply(now, *hold, reply);
    return *hold;
  }
  HoldReply Listing(std::int64_t born, bool shows_task) const {
    HoldReply out{.kind = HoldReply::Kind::kOk,
                  .started_at_unix_ms = born,
                  .clock_ms = now.count()};
    if (shows_task) {
      out.running.push_back({.task = kTask});
    }
    return out;
  }
  // True if the ledger does not let the task start elsewhere.
  bool IsHeld(const TaskRef& task) {
    Store(s);
    return !ledger.FindJob(task.job)->occurrences[0][0].units[0].IsStartable();
  }
  void Store(Supervisor& agent) {
    for (const LedgerRecord& r : agent.TakeRecords(now)) {
      ledger.Apply(now, r);
    }
    agent.OnLedger(now, ledger, /*current=*/true);
  }
  // Lets the worker give this answer to each call of the agent until `end`, or
  // until the task may start elsewhere.
  void Answer(Time end, HoldReply::Kind kind, Supervisor& agent) {
    while (now < end && IsHeld(kTask)) {
      now += 50ms;
      agent.OnAgentHeartbeatStored(now);
      agent.OnLedger(now, ledger, /*current=*/true);
      if (const auto hold = agent.NextHold(now)) {
        agent.OnHoldReply(now, *hold, {.kind = kind});
      }
      Store(agent);
    }
  }
  void Order(const std::string& job) {
    ledger.Apply(now, JobSubmitted{.request = {.id = job,
                                               .account = "a",
                                               .steps = {{.tasks = 1}},
                                               .terms = {.service = "s",
                                                         .max_attempts = 2}}});
    ledger.Apply(now,
                 RunStarted{.epoch = 1,
                            .first = {.job = job},
                            .members = {{.index = 0, .incarnation = kWorker}}});
  }

  Time now = 10s;
  Time sent_at{0};
  Ledger ledger;
  Supervisor s{{.agent = "agent", .process = "p"}};
  StartCall start;
};

// Guards against a task that is given to another worker while it runs in the
// incarnation that has got its start.
TEST_CASE("restarted worker: a start that the new incarnation may have got",
          "[restart]") {
  Rig rig;

  SECTION("which has answered") {
    rig.s.OnStartReply(rig.now, rig.start, {.kind = CommandReply::Kind::kDone});
  }
  SECTION("which has not") {
    rig.s.OnStartReply(rig.now, rig.start, {});
  }
  SECTION("which has not, and which the incarnation before refuses now") {
    rig.s.OnStartReply(rig.now, rig.start, {});
    rig.List(rig.Listing(1000, /*shows_task=*/false));
  }
  rig.List(rig.Listing(kNextBorn, /*shows_task=*/false));
  CHECK(rig.IsHeld(kTask));

  const HoldCall hold = rig.List(rig.Listing(kNextBorn, /*shows_task=*/true));
  CHECK(hold.settles_late_starts);
  CHECK(hold.fence > rig.start.fence);
  CHECK(rig.IsHeld(kTask));
  const auto commands = rig.s.TakeCommands(rig.now);
  REQUIRE(commands.size() == 1);
  const auto& stop = std::get<StopCall>(commands[0]);
  CHECK(stop.task == kTask);
  rig.s.OnStopReply(rig.now, stop, {.kind = CommandReply::Kind::kDone});

  SECTION("the task may start elsewhere once it has gone") {
    rig.now = rig.sent_at + LeaseTiming().CallsArriveWithin();
    rig.List(rig.Listing(kNextBorn, /*shows_task=*/true));
    CHECK(rig.IsHeld(kTask));
    rig.List(rig.Listing(kNextBorn, /*shows_task=*/false));
    CHECK_FALSE(rig.IsHeld(kTask));
  }
  SECTION("or once no lease can be left") {
    const Time heard_at = rig.now;
    rig.Answer(60s, HoldReply::Kind::kNoAnswer, rig.s);
    CHECK(rig.now < heard_at + LeaseTiming().CallsArriveWithin() + 9s);
  }
}

TEST_CASE("restarted worker: a run of the incarnation before has ended",
          "[restart]") {
  Rig rig;
  rig.s.OnStartReply(rig.now, rig.start, {.kind = CommandReply::Kind::kDone});
  rig.List(rig.Listing(1000, /*shows_task=*/true));
  rig.List(rig.Listing(kNextBorn, /*shows_task=*/false));
  CHECK_FALSE(rig.IsHeld(kTask));
}

// Guards against a second run of a task whose start was under way as its worker
// crashed: the next incarnation under the id carries it out, as it has seen no
// fencing token.
TEST_CASE("restarted worker: a start is under way while the worker crashes",
          "[restart]") {
  constexpr auto kRefused = HoldReply::Kind::kConnectionRefused;
  const LeaseTiming leases;
  Rig rig;

  SECTION("and has no reply") {
    rig.s.OnStartReply(rig.now, rig.start, {});
  }
  SECTION("or is still waiting for one") {}
  SECTION("and was sent again to the incarnation that crashes") {
    rig.s.OnStartReply(rig.now, rig.start, {});
    rig.List(rig.Listing(1000, /*shows_task=*/false));
    REQUIRE(rig.s.TakeCommands(rig.now).empty());  // Not before it is recorded.
    REQUIRE(rig.IsHeld(kTask));
    const auto again = std::get<StartCall>(rig.s.TakeCommands(rig.now).at(0));
    rig.s.OnStartReply(rig.now, again, {.kind = CommandReply::Kind::kDone});
    rig.List(rig.Listing(1000, /*shows_task=*/true));
  }
  rig.Answer(rig.now + 3s, kRefused, rig.s);
  REQUIRE(rig.IsHeld(kTask));

  SECTION("the next incarnation is listed before the task is free") {
    const HoldCall hold = rig.List(rig.Listing(kNextBorn, /*shows_task=*/true));
    CHECK(hold.settles_late_starts);
    CHECK(hold.fence > rig.start.fence);
    CHECK(rig.IsHeld(kTask));
    const auto stop = std::get<StopCall>(rig.s.TakeCommands(rig.now).at(0));
    rig.s.OnStopReply(rig.now, stop, {.kind = CommandReply::Kind::kDone});
    // The incarnation after it might still get the start.
    rig.List(rig.Listing(kNextBorn, /*shows_task=*/false));
    CHECK(rig.IsHeld(kTask));
    rig.now = rig.sent_at + leases.CallsArriveWithin() + 1s;
    rig.List(rig.Listing(kNextBorn, /*shows_task=*/false));
    CHECK_FALSE(rig.IsHeld(kTask));
  }
  SECTION("which may crash as well") {
    rig.List(rig.Listing(kNextBorn, /*shows_task=*/true));
    rig.Answer(rig.now + 3s, kRefused, rig.s);
    CHECK(rig.IsHeld(kTask));
  }
  SECTION("another worker at the address gets no call for this one") {
    rig.List({.kind = HoldReply::Kind::kWrongIncarnation});
    CHECK_FALSE(rig.IsHeld(kTask));
  }
  SECTION("without a worker, it is free once no call can arrive") {
    rig.Answer(60s, kRefused, rig.s);
    CHECK(rig.now > rig.sent_at + leases.max_call_delay);
    CHECK(rig.now < rig.sent_at + leases.LostAfter());
  }
  SECTION("orders that were not sent are free at once") {
    rig.Order("k");
    rig.Read();
    CHECK_FALSE(rig.IsHeld({.job = "k"}));
    CHECK(rig.IsHeld(kTask));
  }
}

// Guards against the same where the agent ends as well: its successor does not
// know which starts it had sent.
TEST_CASE("restarted worker: the agent ends beside its worker", "[restart]") {
  Rig rig;
  rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "agent", .process = "p2"});
  const Time restarted_at = rig.now;
  Supervisor successor(
      {.agent = "agent", .process = "p2", .started_at = restarted_at});
  rig.Answer(restarted_at + 5s, HoldReply::Kind::kConnectionRefused, successor);
  REQUIRE(rig.IsHeld(kTask));

  SECTION("the worker is back under its id") {
    rig.Answer(60s, HoldReply::Kind::kOk, successor);
    CHECK(rig.now > restarted_at + LeaseTiming().max_call_delay);
    CHECK(rig.now < restarted_at + LeaseTiming().LostAfter());
  }
  SECTION("it does not come back") {
    rig.Answer(60s, HoldReply::Kind::kConnectionRefused, successor);
    CHECK(rig.now < restarted_at + LeaseTiming().LostAfter());
  }
}

// Guards against a task that waits until a lost start is too old, although its
// worker lives: the run is started there by the next process of the agent.
TEST_CASE("restarted worker: the agent ends, the worker does not have the run",
          "[restart]") {
  Rig rig;
  rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "agent", .process = "p2"});
  Supervisor successor(
      {.agent = "agent", .process = "p2", .started_at = rig.now});
  std::optional<StartCall> again;
  for (int n = 0; n < 10 && !again; ++n) {
    rig.now += 50ms;
    successor.OnAgentHeartbeatStored(rig.now);
    rig.Store(successor);
    for (const TaskCommand& command : successor.TakeCommands(rig.now)) {
      again = std::get<StartCall>(command);
    }
    if (const auto hold = successor.NextHold(rig.now)) {
      successor.OnHoldReply(rig.now, *hold, rig.Listing(1000, false));
    }
  }
  REQUIRE(again.has_value());
  CHECK(again->run == rig.start.run);
  CHECK(again->fence > rig.start.fence);
  CHECK(rig.ledger.FindWorker(kWorker)->runs.at(kTask).start_unanswered);
}

// Guards against the same where the agent ends more than once: only the first
// of its processes can have sent the start. And against a wait that begins anew
// with each restart.
TEST_CASE("restarted worker: the agent ends again and again", "[restart]") {
  const Duration lifetime = GENERATE(1000ms, 2500ms, 10'000ms);
  Rig rig;
  const Time ended_at = rig.now;
  for (int n = 1; n < 60 && rig.IsHeld(kTask); ++n) {
    const std::string process = "p" + std::to_string(n);
    const Time started_at = rig.now;
    Supervisor successor(
        {.agent = "agent", .process = process, .started_at = started_at});
    const auto beat = [&] {
      rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "agent",
                                               .process = process,
                                               .process_number = n + 1,
                                               .uptime = rig.now - started_at});
    };
    // It reads the ledger before its first heartbeat is there.
    successor.OnLedger(rig.now, rig.ledger, /*current=*/true);
    while (rig.now < started_at + lifetime && rig.IsHeld(kTask)) {
      beat();
      rig.Answer(std::min(rig.now + 800ms, started_at + lifetime),
                 HoldReply::Kind::kConnectionRefused, successor);
    }
    beat();
  }
  CHECK(rig.now > ended_at + LeaseTiming().max_call_delay);
  CHECK(rig.now < ended_at + LeaseTiming().LostAfter());
}

// Guards against the same where the next incarnation is heard before the ledger
// has been read.
TEST_CASE("restarted worker: its heartbeat comes before the ledger is read",
          "[restart]") {
  Rig rig;
  rig.ledger.Apply(rig.now, AgentHeartbeat{.agent = "agent", .process = "p2"});
  Supervisor successor({.agent = "agent", .process = "p2"});
  successor.OnLedger(rig.now, rig.ledger, /*current=*/false);
  const WorkerIncarnation next{.id = "w", .started_at_unix_ms = kNextBorn};
  CHECK_FALSE(
      HearWorker(successor, rig.now, {.incarnation = next, .service = "s"}));
  rig.Answer(rig.now + 1s, HoldReply::Kind::kNoAnswer, successor);
  CHECK(rig.IsHeld(kTask));
}

// Guards against the same where the worker is silent until its leases have run
// out, and has restarted behind a partition.
TEST_CASE("restarted worker: a start is under way to a silent worker",
          "[restart]") {
  Rig rig;
  rig.s.OnStartReply(rig.now, rig.start, {});
  rig.Answer(60s, HoldReply::Kind::kNoAnswer, rig.s);
  CHECK(rig.now > rig.sent_at + LeaseTiming().max_call_delay);
  CHECK(rig.now < rig.sent_at + LeaseTiming().LostAfter());
}

// Guards against a task that starts after its end as done, or beside its next
// run: a start of it that had no answer was settled, and comes to the next
// incarnation all the same.
TEST_CASE("restarted worker: a start was settled before the worker crashes",
          "[restart]") {
  const Duration within = LeaseTiming().CallsArriveWithin();
  Rig rig;
  rig.s.OnStartReply(rig.now, rig.start, {});
  rig.List(rig.Listing(1000, /*shows_task=*/false));
  REQUIRE(rig.IsHeld(kTask));
  const auto again = std::get<StartCall>(rig.s.TakeCommands(rig.now).at(0));
  rig.s.OnStartReply(rig.now, again, {.kind = CommandReply::Kind::kDone});
  HoldReply listing = rig.Listing(1000, /*shows_task=*/false);

  SECTION("its end as done is not acknowledged while the start may come") {
    listing.ended = {{.end_number = 1, .task = kTask}};
    rig.List(listing);
    rig.Read();
    rig.Store(rig.s);
    CHECK(rig.ledger.FindJob("j")->phase == JobPhase::kCompleted);
    CHECK(rig.List(listing).acked_end == 0);

    SECTION("by a later process of the agent either") {
      rig.ledger.Apply(
          rig.now, AgentHeartbeat{
                       .agent = "agent", .process = "p2", .process_number = 2});
      Supervisor successor(
          {.agent = "agent", .process = "p2", .started_at = rig.now});
      successor.OnLedger(rig.now, rig.ledger, /*current=*/true);
      CHECK(successor.NextHold(rig.now)->acked_end == 0);
    }
    SECTION("but then") {
      rig.now = rig.sent_at + within + 1ms;
      CHECK(rig.List(listing).acked_end == 1);
      rig.Store(rig.s);
      CHECK(rig.ledger.FindAgent("agent")->late_starts.empty());
    }
    SECTION("and the id is called once the worker has crashed") {
      for (int n = 0; n < 10; ++n) {
        rig.List({.kind = HoldReply::Kind::kConnectionRefused});
        rig.Store(rig.s);
      }
      CHECK(rig.ledger.FindWorker(kWorker)->incarnation_ended);
      CHECK(rig.List({.kind = HoldReply::Kind::kConnectionRefused}).fence >
            again.fence);
    }
  }
  SECTION("after another end it starts elsewhere only then") {
    const TaskOutcome outcome =
        GENERATE(TaskOutcome::kFailed, TaskOutcome::kStopped,
                 TaskOutcome::kGangTimedOut);
    listing.ended = {{.end_number = 1, .task = kTask, .outcome = outcome}};
    rig.List(listing);
    rig.Read();
    CHECK(rig.IsHeld(kTask));
    CHECK(rig.ledger.FindWorker(kWorker)->runs.empty());

    auto restored =
        LedgerSnapshot::Load(rig.now, LedgerSnapshot::Save(rig.ledger, 7));
    CHECK(restored->ledger.FindAgent("agent")->late_starts ==
          rig.ledger.FindAgent("agent")->late_starts);
    CHECK_FALSE(restored->ledger.FindJob("j")
                    ->occurrences[0][0]
                    .units[0]
                    .IsStartable());

    rig.now = rig.sent_at + within + 1ms;
    rig.List(listing);
    CHECK_FALSE(rig.IsHeld(kTask));
  }
}

// Guards against a wait for starts in doubt that delays tasks which are known
// to have ended with the worker.
TEST_CASE("restarted worker: a run beside a start that is under way",
          "[restart]") {
  Rig rig;
  rig.s.OnStartReply(rig.now, rig.start, {.kind = CommandReply::Kind::kDone});
  rig.List(rig.Listing(1000, /*shows_task=*/true));
  rig.Order("k");
  rig.Read();
  const auto start = std::get<StartCall>(rig.s.TakeCommands(rig.now).at(0));
  rig.s.OnStartReply(rig.now, start, {});
  rig.Answer(rig.now + 3s, HoldReply::Kind::kConnectionRefused, rig.s);
  CHECK_FALSE(rig.IsHeld(kTask));
  CHECK(rig.IsHeld({.job = "k"}));
  CHECK(rig.ledger.FindAgent("agent")->consecutive_crashes == 1);
}

}  // namespace
}  // namespace marjoramplank
