// The run-time model as part of the ledger: what records teach it, and how it
// survives a change of planner, a snapshot and odd numbers.

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <vector>

#include "src/jobs/generated/ledger.capnp.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/jobs/ledger_wire.h"
#include "src/jobs/record_limits.h"
#include "src/jobs/run_time_snapshot.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 10s;

WorkerIncarnation Incarnation(int machine, std::int64_t started_at = 1) {
  return {.id = "w" + std::to_string(machine),
          .started_at_unix_ms = started_at};
}
std::string AgentName(int machine) {
  return "a" + std::to_string(machine);
}
TaskRef Task(const std::string& job, std::int32_t index) {
  return {.job = job, .index = index};
}

WorkerReported Report(int machine, std::int64_t started_at = 1) {
  return {.agent = AgentName(machine),
          .incarnation = Incarnation(machine, started_at),
          .service = "s",
          .data_centre = "dc",
          .rack = machine < 10 ? "r1" : "r2",
          .capacity = {.cpu_milli = 8000, .memory_mb = 8000}};
}

constexpr int kMachines = 20;

std::vector<LedgerRecord> Cluster() {
  std::vector<LedgerRecord> out{PlannerElected{.entry = "e", .epoch = 1}};
  for (int n = 0; n < kMachines; ++n) {
    out.emplace_back(AgentHeartbeat{.agent = AgentName(n), .process = "p"});
    out.emplace_back(Report(n));
  }
  return out;
}

JobSubmitted Submit(const std::string& id, JobStep step) {
  step.need = {.cpu_milli = 10, .memory_mb = 10};
  return {.request = {.id = id,
                      .account = "a",
                      .payload = "p",
                      .steps = {step},
                      .terms = {.queue = "q", .service = "s"}}};
}

RunStarted Start(const std::string& job,
                 std::int32_t first,
                 const std::vector<int>& machines) {
  RunStarted out{.epoch = 1, .first = Task(job, first), .run = 1};
  for (std::size_t n = 0; n < machines.size(); ++n) {
    out.members.push_back({.index = first + static_cast<std::int32_t>(n),
                           .incarnation = Incarnation(machines[n])});
  }
  return out;
}

RunObserved Observe(const std::string& job,
                    std::int32_t index,
                    int machine,
                    Duration projected) {
  return {.incarnation = Incarnation(machine),
          .task = Task(job, index),
          .run = 1,
          .percent = 20,
          .projected_run_time = projected};
}

TaskEnded End(const std::string& job,
              std::int32_t index,
              int machine,
              std::int64_t number,
              Duration run_time) {
  return {.incarnation = Incarnation(machine),
          .end_number = number,
          .task = Task(job, index),
          .run = 1,
          .run_time = run_time};
}

void Apply(Ledger& ledger, const std::vector<LedgerRecord>& records) {
  for (const LedgerRecord& r : records) {
    ledger.Apply(kNow, r);
  }
}

// Gangs of five, with the first machine twice as slow as the others.
std::vector<LedgerRecord> Gangs(int count) {
  std::vector<LedgerRecord> out;
  for (int n = 0; n < count; ++n) {
    const std::string job = "gang-" + std::to_string(n);
    out.emplace_back(Submit(job, {.tasks = 5, .gang = true}));
    out.emplace_back(Start(job, 0, {0, 1, 2, 3, 4}));
    for (int m = 0; m < 5; ++m) {
      out.emplace_back(Observe(job, m, m, m == 0 ? 4s : 2s));
    }
  }
  return out;
}

Ledger LedgerAfter(const std::vector<LedgerRecord>& records) {
  Ledger out;
  Apply(out, Cluster());
  Apply(out, records);
  return out;
}

TEST_CASE("run-time records: what is learned", "[run_times][ledger]") {
  Ledger ledger = LedgerAfter({});

  SECTION("projections of gang members tell the slow machine") {
    Apply(ledger, Gangs(3));
    CHECK(ledger.run_times().Slowness(kNow, AgentName(0)) >= 1.9);
    CHECK(ledger.run_times().Slowness(kNow, AgentName(1)) == 1);
    const JobRequest& job = ledger.jobs().at("gang-0").request;
    CHECK(ledger.run_times().Expected(job, 0, 30s) == 2s);
  }
  SECTION("the end of a task is learned before its run is released") {
    Apply(ledger,
          {Submit("j", {.tasks = 2}), Start("j", 0, {0}), Start("j", 1, {1}),
           End("j", 0, 0, 1, 3s), End("j", 1, 1, 1, 3s)});
    CHECK(ledger.run_times().machine_count() == 2);
    CHECK(ledger.run_times().SampleCount(AgentName(0)) == 1);
  }
  SECTION("an end replaces the projection of the same run") {
    Apply(ledger, {Submit("j", {.tasks = 2}), Start("j", 0, {0}),
                   Observe("j", 0, 0, 2s), End("j", 0, 0, 1, 3s)});
    CHECK(ledger.run_times().Expected(ledger.jobs().at("j").request, 0, 30s) ==
          3s);
  }
  SECTION("a run that did not end as done tells nothing") {
    TaskEnded stopped = End("j", 0, 0, 1, 3s);
    stopped.outcome = TaskOutcome::kStopped;
    Apply(ledger, {Submit("j", {.tasks = 2}), Start("j", 0, {0}), stopped});
    CHECK(ledger.run_times().machine_count() == 0);
  }
  SECTION("neither does a run that the worker does not hold") {
    RunObserved other_run = Observe("j", 0, 0, 2s);
    other_run.run = 7;
    Apply(ledger, {Submit("j", {.tasks = 2}), Start("j", 0, {0}), other_run,
                   Observe("j", 1, 0, 2s), Observe("j", 0, 1, 2s),
                   Observe("unknown", 0, 0, 2s), End("j", 1, 0, 1, 2s)});
    CHECK(ledger.run_times().machine_count() == 0);
  }
  SECTION("nor a task that runs until it is cancelled") {
    Apply(ledger, {Submit("j", {.tasks = 1, .long_running = true}),
                   Start("j", 0, {0}), Observe("j", 0, 0, 2s)});
    CHECK(ledger.run_times().machine_count() == 0);
  }
  SECTION("tasks away from their data are not compared with those near it") {
    Apply(ledger,
          {Submit("j", {.tasks = 4, .data_rack = "r1"}), Start("j", 0, {0}),
           Start("j", 1, {1}), Start("j", 2, {15}), Start("j", 3, {16}),
           Observe("j", 0, 0, 2s), Observe("j", 1, 1, 2s),
           Observe("j", 2, 15, 6s), Observe("j", 3, 16, 6s)});
    CHECK(ledger.run_times().group_count() == 2);
    CHECK(ledger.run_times().Slowness(kNow, AgentName(15)) == 1);
  }
  SECTION("a new worker of the machine halves what is believed") {
    Apply(ledger, Gangs(3));
    Apply(ledger, {Report(0, /*started_at=*/2)});
    CHECK(ledger.run_times().SampleCount(AgentName(0)) == 1);
    CHECK(ledger.run_times().Slowness(kNow, AgentName(0)) < 1.5);
  }
}

TEST_CASE("run-time records: odd numbers", "[run_times][ledger]") {
  const auto odd = GENERATE(Duration(0), Duration(-1), Duration::min(),
                            Duration::max(), Duration(24h * 366));
  CAPTURE(odd.count());
  Ledger ledger = LedgerAfter({Submit("j", {.tasks = 1}), Start("j", 0, {0})});

  SECTION("of a projection teach nothing, and the observation counts") {
    RunObserved observed = Observe("j", 0, 0, odd);
    observed.checkpoint = "c";
    REQUIRE(IsWithinLimits(observed));
    CHECK(DecodeRecord(EncodeRecord(observed)) == LedgerRecord(observed));
    ledger.Apply(kNow, observed);
    CHECK(ledger.run_times().machine_count() == 0);
    const LedgerWorker* worker = ledger.FindWorker(Incarnation(0));
    CHECK(worker->runs.at(Task("j", 0)).percent == 20);
  }
  SECTION("of an end teach nothing, and the task has ended") {
    // To refuse the record would leave the task running for ever.
    const TaskEnded end = End("j", 0, 0, 1, odd);
    REQUIRE(IsWithinLimits(end));
    ledger.Apply(kNow, end);
    CHECK(ledger.run_times().machine_count() == 0);
    CHECK(ledger.jobs().at("j").ended());
  }
}

std::string SaveModel(const Ledger& ledger) {
  return LedgerSnapshot::Save(ledger, 0);
}

TEST_CASE("run-time records: snapshots", "[run_times][ledger]") {
  const std::vector<LedgerRecord> records = Gangs(12);

  SECTION("a planner that takes over while the model learns has the same") {
    for (std::size_t cut = 0; cut <= records.size(); cut += 7) {
      const auto middle = records.begin() + static_cast<std::ptrdiff_t>(cut);
      Ledger whole = LedgerAfter({records.begin(), middle});
      std::optional<LedgerSnapshot::Restored> restored =
          LedgerSnapshot::Load(kNow, SaveModel(whole));
      REQUIRE(restored);
      CHECK(SaveModel(restored->ledger) == SaveModel(whole));
      Apply(whole, {middle, records.end()});
      Apply(restored->ledger, {middle, records.end()});
      CHECK(SaveModel(restored->ledger) == SaveModel(whole));
      for (int n = 0; n < kMachines; ++n) {
        CHECK(restored->ledger.run_times().Slowness(kNow, AgentName(n)) ==
              whole.run_times().Slowness(kNow, AgentName(n)));
      }
    }
  }
  SECTION("one of an earlier version gives an empty model, and the ledger") {
    // An earlier version has no field for the model.
    capnp::MallocMessageBuilder message;
    const Ledger ledger = LedgerAfter(records);
    const std::string bytes = SaveModel(ledger);
    kj::ArrayInputStream input(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(input);
    message.setRoot(reader.getRoot<ledger_wire::Snapshot>());
    message.getRoot<ledger_wire::Snapshot>().disownRunTimes();
    std::optional<LedgerSnapshot::Restored> restored =
        LedgerSnapshot::Load(kNow, ledger_wire::ToPackedBytes(message));
    REQUIRE(restored);
    CHECK(restored->ledger.run_times().machine_count() == 0);
    CHECK(restored->ledger.run_times().Slowness(kNow, AgentName(0)) == 1);
    CHECK(restored->ledger.jobs().size() == ledger.jobs().size());
    CHECK(restored->ledger.workers().size() == ledger.workers().size());
    const std::vector<LedgerRecord> later{
        Submit("later", {.tasks = 2}), Start("later", 0, {0}),
        Start("later", 1, {1}), Observe("later", 0, 0, 4s),
        Observe("later", 1, 1, 2s)};
    Apply(restored->ledger, later);
    CHECK(restored->ledger.run_times().machine_count() == 2);
  }
  SECTION("numbers that are not finite, and counters out of range") {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ledger_wire::RunTimes>();
    auto machine = out.initMachines(1)[0];
    machine.setAgent(AgentName(0));
    machine.setLogSlowness(std::numeric_limits<double>::quiet_NaN());
    machine.setLastUsed(std::numeric_limits<std::int64_t>::min());
    machine.initSamples(1)[0].setResidual(
        std::numeric_limits<double>::infinity());
    auto group = out.initGroups(1)[0];
    group.setKey("gang-0.0");
    group.setLogBase(-std::numeric_limits<double>::infinity());
    group.setLastUsed(std::numeric_limits<std::int64_t>::max());
    out.setSamples(std::numeric_limits<std::int64_t>::max());
    out.setSinceRecentring(std::numeric_limits<std::int64_t>::max());
    RunTimeModel model = RunTimeSnapshot::Read(kNow, out.asReader());
    CHECK(model.Slowness(kNow, AgentName(0)) == 1);
    for (int n = 0; n < 5; ++n) {
      model.Add(kNow, {.task = Task("gang-0", n),
                       .agent = AgentName(n),
                       .queue = "q",
                       .run_time = 2s});
      CHECK(std::isfinite(model.Slowness(kNow, AgentName(n))));
    }
  }
}

// Prints the size of the model's part of a snapshot for the largest
// deployment. Not a check of a time; the size is bounded.
TEST_CASE("run-time records: bytes of the model at 19,000 workers",
          "[run_times][ledger]") {
  constexpr int kWorkers = 19'000;
  RunTimeModel model;
  for (int n = 0; n < 8 * kWorkers; ++n) {
    model.Add(kNow, {.task = Task("job-" + std::to_string(n / 64), n % 64),
                     .agent = "agent-" + std::to_string((n * 7) % kWorkers),
                     .queue = "q" + std::to_string((n / 64) % 3),
                     .declared = 8s,
                     .run_time = Duration(8000 + (n * 131) % 997)});
  }
  REQUIRE(model.machine_count() == kWorkers);
  capnp::MallocMessageBuilder message;
  RunTimeSnapshot::Write(model, message.initRoot<ledger_wire::RunTimes>());
  const std::string bytes = ledger_wire::ToPackedBytes(message);
  INFO("packed bytes: " << bytes.size());
  CHECK(bytes.size() < 8'000'000);
}

}  // namespace
}  // namespace marjoramplank
