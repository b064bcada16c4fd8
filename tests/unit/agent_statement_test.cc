// Guards against a state of a worker that has passed and is taken for the
// present one, as its record was stored late or the worker's clock was set
// back.

#include <catch2/catch.hpp>

#include "src/jobs/ledger.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 10s;
const WorkerIncarnation kFirst{.id = "w", .started_at_unix_ms = 5000};
const WorkerIncarnation kSecond{.id = "w", .started_at_unix_ms = 3000};
const TaskRef kTask{.job = "j"};

WorkerReported Report(const WorkerIncarnation& incarnation,
                      std::int64_t number,
                      const std::string& process = "p1") {
  return {.agent = "agent",
          .incarnation = incarnation,
          .service = "s",
          .statement = {.process = process, .number = number}};
}

WorkerEmptied Emptied(std::int64_t number, bool has_ended) {
  return {.incarnation = kFirst,
          .incarnation_ended = has_ended,
          .statement = {.process = "p1", .number = number}};
}

Ledger LedgerWithTask() {
  Ledger ledger;
  ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p1"});
  ledger.Apply(kNow, Report(kFirst, 1));
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(kNow, JobSubmitted{.request = {.id = "j",
                                              .account = "a",
                                              .steps = {{.tasks = 1}},
                                              .terms = {.service = "s"}}});
  return ledger;
}

LedgerRecord RecordOnWire(const LedgerRecord& record) {
  const std::optional<LedgerRecord> out = DecodeRecord(EncodeRecord(record));
  REQUIRE(out == record);
  return *out;
}

void StartTask(Ledger& ledger,
               const WorkerIncarnation& incarnation,
               std::int32_t run) {
  REQUIRE(ledger.Apply(
      kNow, RunStarted{.epoch = 1,
                       .first = kTask,
                       .run = run,
                       .members = {{.index = 0, .incarnation = incarnation}}}));
}

TEST_CASE("ledger: what an agent states of its worker has an order",
          "[statement]") {
  Ledger ledger = LedgerWithTask();

  SECTION("a worker whose clock was set back gets work") {
    ledger.Apply(kNow, Emptied(2, /*has_ended=*/true));
    CHECK(ledger.Apply(kNow, Report(kSecond, 3)));
    StartTask(ledger, kSecond, 1);

    SECTION("and a late report of the incarnation before changes nothing") {
      CHECK_FALSE(ledger.Apply(kNow, Report(kFirst, 1)));
      CHECK(ledger.FindWorker(kSecond)->runs.contains(kTask));
    }
  }
  SECTION("a late report does not revive an incarnation that has ended") {
    ledger.Apply(kNow, Emptied(2, /*has_ended=*/true));
    CHECK_FALSE(ledger.Apply(kNow, Report(kFirst, 1)));
    CHECK(ledger.FindWorker(kFirst)->incarnation_ended);
  }
  SECTION("a repeated statement that leases ran out ends no later run") {
    StartTask(ledger, kFirst, 1);
    CHECK(ledger.Apply(kNow, Emptied(2, /*has_ended=*/false)));
    ledger.Apply(kNow, Report(kFirst, 3));
    StartTask(ledger, kFirst, 2);
    CHECK_FALSE(ledger.Apply(kNow, Emptied(2, /*has_ended=*/false)));
    CHECK(ledger.FindWorker(kFirst)->runs.contains(kTask));
  }
  SECTION("the agent has restarted: the process before is not heard any more") {
    ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p2"});
    ledger.Apply(kNow, Report(kSecond, 1, "p2"));
    StartTask(ledger, kSecond, 1);
    CHECK_FALSE(
        ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p1"}));
    CHECK_FALSE(ledger.Apply(kNow, Report(kFirst, 7)));
    CHECK(ledger.FindWorker(kSecond)->runs.contains(kTask));
  }
  // Guards against an agent that is shut out for good, and its tasks run twice,
  // because a heartbeat of an earlier process was stored late.
  SECTION("a late heartbeat of an earlier process does not last") {
    const AgentHeartbeat living{.agent = "agent", .process = "p3"};
    ledger.Apply(kNow, living);
    ledger.Apply(kNow, Report(kFirst, 1, "p3"));
    REQUIRE(
        ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p2"}));
    ledger.Apply(kNow, living);
    CHECK(ledger.Apply(kNow, living));
    CHECK(ledger.FindAgent("agent")->process == "p3");
    CHECK_FALSE(ledger.Apply(kNow, Report(kFirst, 1, "p3")));
    CHECK(ledger.Apply(kNow, Report(kFirst, 2, "p3")));
  }
  // Guards against a living process whose statements are ignored, as two
  // heartbeats of the one before were stored late, one after the other.
  SECTION("late heartbeats of a numbered process before, however many") {
    const AgentHeartbeat before{
        .agent = "agent", .process = "p2", .process_number = 2};
    const AgentHeartbeat living{
        .agent = "agent", .process = "p3", .process_number = 3};
    ledger.Apply(kNow, before);
    ledger.Apply(kNow, living);
    for (int n = 0; n < 4; ++n) {
      CHECK_FALSE(ledger.Apply(kNow, before));
    }
    CHECK(ledger.FindAgent("agent")->process == "p3");
    CHECK(ledger.Apply(kNow, Report(kFirst, 1, "p3")));

    SECTION("nor do those of a version without numbers displace it for good") {
      const AgentHeartbeat old{.agent = "agent", .process = "p2"};
      ledger.Apply(kNow, old);
      ledger.Apply(kNow, old);
      // It has read that it was displaced, and has taken the next number.
      CHECK(ledger.Apply(
          kNow, AgentHeartbeat{
                    .agent = "agent", .process = "p3", .process_number = 5}));
      CHECK(ledger.FindAgent("agent")->process == "p3");
    }
  }
  SECTION("the order is in records and snapshots") {
    CHECK(DecodeRecord(EncodeRecord(Report(kFirst, 9))) ==
          LedgerRecord(Report(kFirst, 9)));
    CHECK(DecodeRecord(EncodeRecord(Emptied(9, true))) ==
          LedgerRecord(Emptied(9, true)));
    ledger.Apply(kNow, AgentHeartbeat{.agent = "agent", .process = "p2"});
    ledger.Apply(kNow, Report(kFirst, 4, "p2"));
    auto restored = LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 7));
    REQUIRE(restored.has_value());
    const LedgerAgent* agent = restored->ledger.FindAgent("agent");
    CHECK(agent->process_before == "p1");
    CHECK(agent->last_statement == 4);
  }
}

// Guards against a run that is at work and that a statement from before its
// order releases.
TEST_CASE("ledger: a statement that runs have expired is about them alone",
          "[statement]") {
  Ledger ledger = LedgerWithTask();
  StartTask(ledger, kFirst, 1);
  WorkerEmptied statement = Emptied(2, /*has_ended=*/false);

  SECTION("another run of the task stays") {
    statement.runs = {{.task = kTask, .run = 7}};
    ledger.Apply(kNow, RecordOnWire(statement));
    CHECK(ledger.FindWorker(kFirst)->runs.contains(kTask));
  }
  SECTION("a run that it names has ended") {
    statement.runs = {{.task = kTask, .run = 1}};
    ledger.Apply(kNow, RecordOnWire(statement));
    CHECK(ledger.FindWorker(kFirst)->runs.empty());
    CHECK(ledger.FindWorker(kFirst)->used == Resources());
  }
  SECTION("all have ended with their incarnation") {
    statement.incarnation_ended = true;
    ledger.Apply(kNow, RecordOnWire(statement));
    CHECK(ledger.FindWorker(kFirst)->runs.empty());
  }
}

}  // namespace
}  // namespace marjoramplank
