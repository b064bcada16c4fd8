// Snapshots of the earlier form, and those that an earlier version must refuse.

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

#include "src/jobs/ledger_snapshot.h"
#include "src/jobs/ledger_wire.h"

namespace marjoramplank {
namespace {

constexpr std::int64_t kPosition = 7;
const WorkerIncarnation kWorker{.id = "w", .started_at_unix_ms = 1};

JobRequest MakeJob() {
  return {.id = "j",
          .payload = "p",
          .steps = {{.tasks = 3}, {.tasks = 2, .after = {0}, .gang = true}},
          .recurrence = {.occurrence_count = 2}};
}

// The first task is done, the second runs. Another job has ended.
Ledger MakeLedger() {
  Ledger out;
  out.Apply(1s, PlannerElected{.entry = "e", .epoch = 1});
  out.Apply(1s, JobSubmitted{.request = {.id = "over", .steps = {{}}}});
  out.Apply(1s, JobCancelled{.job = "over"});
  out.Apply(1s, JobSubmitted{.request = MakeJob()});
  out.Apply(1s, WorkerReported{.agent = "a",
                               .incarnation = kWorker,
                               .service = "s",
                               .accepting = true});
  for (const int n : {0, 1}) {
    out.Apply(1s,
              RunStarted{.epoch = 1,
                         .first = {.job = "j", .index = n},
                         .members = {{.index = n, .incarnation = kWorker}}});
  }
  out.Apply(1s, TaskEnded{.incarnation = kWorker,
                          .end_number = 1,
                          .task = {.job = "j", .index = 0}});
  return out;
}

void WriteEarlierUnit(const RunUnit& in, ledger_wire::Unit::Builder out) {
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setRun(in.run);
  out.setUnsettled(in.unfinished_members);
  auto members = out.initMembers(static_cast<unsigned>(in.members.size()));
  for (unsigned n = 0; n < members.size(); ++n) {
    ledger_wire::ToWire(in.members[n], members[n]);
  }
}

void WriteEarlierJob(const LedgerJob& in, ledger_wire::JobState::Builder out) {
  ledger_wire::ToWire(in.request, out.initJob());
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setOrder(in.sequence_number);
  out.setBegun(in.has_begun);
  auto occurrences =
      out.initOccurrences(static_cast<unsigned>(in.occurrences.size()));
  for (unsigned k = 0; k < occurrences.size(); ++k) {
    const std::vector<StepState>& states = in.occurrences[k];
    auto steps = occurrences.init(k, static_cast<unsigned>(states.size()));
    for (unsigned s = 0; s < steps.size(); ++s) {
      auto units = steps.init(s, static_cast<unsigned>(states[s].units.size()));
      for (unsigned u = 0; u < units.size(); ++u) {
        WriteEarlierUnit(states[s].units[u], units[u]);
      }
    }
  }
}

// As a version wrote it that lists each unit, repeats the payload, and has the
// ended jobs among the others.
std::string SaveInEarlierForm(const Ledger& ledger) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<ledger_wire::Snapshot>();
  out.setPosition(kPosition);
  auto jobs = out.initJobs(2);
  WriteEarlierJob(ledger.jobs().at("j"), jobs[0]);
  WriteEarlierJob(ledger.jobs().at("over"), jobs[1]);
  out.initEndedOrder(1).set(0, "over");
  auto worker = out.initWorkers(1)[0];
  const LedgerWorker& state = ledger.workers().at(kWorker);
  ledger_wire::ToWire(state.report, worker.initReport());
  worker.setLastEnd(state.last_end_number);
  auto runs = worker.initRuns(static_cast<unsigned>(state.runs.size()));
  unsigned n = 0;
  for (const auto& [task, run] : state.runs) {
    ledger_wire::ToWire(task, runs[n].initTask());
    runs[n].setRun(run.run);
    runs[n++].setPayload(run.payload);
  }
  auto agent = out.initAgents(1)[0];
  agent.setAgent("a");
  ledger_wire::ToWire(kWorker, agent.initLife());
  out.setPlanner("e");
  out.setPlannerEpoch(1);
  out.setAccepted(2);
  return ledger_wire::ToPackedBytes(message);
}

// Guards against a state that is lost at the upgrade.
TEST_CASE("a snapshot of the earlier form is read", "[ledger][snapshot]") {
  const Ledger ledger = MakeLedger();
  const auto restored = LedgerSnapshot::Load(1s, SaveInEarlierForm(ledger));
  REQUIRE(restored.has_value());
  CHECK(restored->position == kPosition);
  const LedgerJob* job = restored->ledger.FindJob("j");
  REQUIRE(job != nullptr);
  CHECK(job->occurrences == ledger.FindJob("j")->occurrences);
  CHECK(job->running_units == 1);
  CHECK(LedgerSnapshot::Save(restored->ledger, 1) ==
        LedgerSnapshot::Save(ledger, 1));
}

// Guards against an earlier version that takes the jobs of a compact snapshot
// for malformed, drops them and plans without them: it rejects the position.
TEST_CASE("an earlier version refuses a compact snapshot",
          "[ledger][snapshot]") {
  const std::string bytes = LedgerSnapshot::Save(MakeLedger(), kPosition);
  kj::ArrayInputStream input(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
  capnp::PackedMessageReader message(input);
  CHECK(message.getRoot<ledger_wire::Snapshot>().getPosition() < 0);
}

TEST_CASE("a run keeps its payload in a snapshot", "[ledger][snapshot]") {
  Ledger ledger = MakeLedger();
  SECTION("of an open job") {}
  SECTION("of a job that has ended") {
    ledger.Apply(1s, JobCancelled{.job = "j"});
  }
  const auto restored =
      LedgerSnapshot::Load(1s, LedgerSnapshot::Save(ledger, kPosition));
  REQUIRE(restored.has_value());
  const LedgerWorker* worker = restored->ledger.FindWorker(kWorker);
  REQUIRE(worker != nullptr);
  REQUIRE(worker->runs.size() == 1);
  CHECK(worker->runs.begin()->second.payload == "p");
}

// Guards against a damaged snapshot that takes all memory.
TEST_CASE("counts of units out of range hide no other job",
          "[ledger][snapshot][odd]") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<ledger_wire::Snapshot>();
  out.setPosition(kPosition);
  auto jobs = out.initJobs(2);
  JobRequest request = MakeJob();
  for (unsigned n = 0; n < jobs.size(); ++n) {
    request.id = n == 0 ? "odd" : "j";
    request.steps = {{.tasks = 2}};
    request.recurrence.occurrence_count = 1;
    ledger_wire::ToWire(request, jobs[n].initJob());
    auto occurrence = jobs[n].initOccurrenceRuns(1)[0];
    occurrence.setCount(1);
    auto unit = occurrence.initSteps(1).init(0, 1)[0];
    unit.setCount(2);
    unit.initUnit();
  }
  auto odd_occurrence = jobs[0].getOccurrenceRuns()[0];
  auto odd_unit = odd_occurrence.getSteps()[0][0];
  constexpr std::int32_t kMaxInt32 = std::numeric_limits<std::int32_t>::max();
  SECTION("many units") {
    odd_unit.setCount(kMaxInt32);
  }
  SECTION("a negative number of units") {
    odd_unit.setCount(-1);
  }
  SECTION("no units") {
    odd_unit.setCount(0);
  }
  SECTION("many occurrences") {
    odd_occurrence.setCount(kMaxInt32);
  }
  SECTION("no occurrences") {
    odd_occurrence.setCount(0);
  }
  SECTION("too many units in all occurrences") {
    odd_occurrence.setCount(kMaxTasksOfJob);
  }
  const auto restored =
      LedgerSnapshot::Load(1s, ledger_wire::ToPackedBytes(message));
  REQUIRE(restored.has_value());
  CHECK(restored->ledger.FindJob("odd") == nullptr);
  CHECK(restored->ledger.FindJob("j") != nullptr);
}

}  // namespace
}  // namespace marjoramplank
