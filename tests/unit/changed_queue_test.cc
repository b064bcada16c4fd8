// Accepted jobs and a configuration that renames their queue, or moves it to
// another service or address.

#include <catch2/catch.hpp>

#include <algorithm>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 10s;
const WorkerIncarnation kOldWorker{.id = "w-old", .started_at_unix_ms = 1};
const WorkerIncarnation kNewWorker{.id = "w-new", .started_at_unix_ms = 1};

QueueRule Queue(const std::string& name,
                const std::string& service,
                const std::string& path_prefix = "/q/") {
  return {.host = "h",
          .path_prefix = path_prefix,
          .terms = {.queue = name, .service = service, .max_attempts = 2}};
}

JobRequest Job(const std::string& id, const QueueRule& queue) {
  return {.id = id,
          .account = "a",
          .payload = "p",
          .steps = {{.need = {.accelerators = 4}}},
          .terms = queue.terms,
          .address = queue.address()};
}

// A worker of the service "old" and one of "new".
struct Rig {
  Rig() {
    rules.loaded = true;
    Configure(1, {Queue("q", "old")});
    Apply(PlannerElected{.entry = "e", .epoch = 1});
    Report("a-old", "old", kOldWorker);
    Report("a-new", "new", kNewWorker);
  }
  bool Apply(const LedgerRecord& record) { return ledger.Apply(kNow, record); }
  void Report(const std::string& agent,
              const std::string& service,
              const WorkerIncarnation& worker) {
    Apply(AgentHeartbeat{.agent = agent, .process = "p"});
    Apply(WorkerReported{.agent = agent,
                         .incarnation = worker,
                         .service = service,
                         .data_centre = "d",
                         .rack = "r",
                         .capacity = {.accelerators = 8}});
  }
  void Configure(std::int64_t version, std::vector<QueueRule> queues) {
    rules.rules.version = version;
    rules.rules.queues = std::move(queues);
  }
  // Makes and applies this many plans.
  void Plan(int plans = 2) {
    for (int n = 0; n < plans; ++n) {
      for (const LedgerRecord& r : Dispatcher({}).Plan({.now = kNow,
                                   .epoch = ledger.planner_epoch(),
                                   .ledger = ledger,
                                   .rules = rules})) {
        changes += std::holds_alternative<QueueChanged>(r) ? 1 : 0;
        // Each record survives the log.
        Apply(DecodeRecord(EncodeRecord(r)).value());
      }
    }
  }
  bool IsOn(const WorkerIncarnation& worker, const std::string& job) const {
    return ledger.FindWorker(worker)->runs.contains({.job = job});
  }
  JobQueue QueueOfJob(const std::string& id) const {
    return QueueOf(ledger.FindJob(id)->request);
  }
  void RestartFromSnapshot() {
    ledger = LedgerSnapshot::Load(kNow, LedgerSnapshot::Save(ledger, 1))
                 .value()
                 .ledger;
  }

  Ledger ledger;
  RulesView rules;
  int changes = 0;
};

// Guards against accepted jobs that nothing starts any more, as they wait for
// workers of the service that their queue has left.
TEST_CASE("changed queue: it moves to another service", "[changed_queue]") {
  Rig rig;
  rig.Apply(JobSubmitted{.request = Job("running", Queue("q", "old"))});
  rig.Plan();
  REQUIRE(rig.IsOn(kOldWorker, "running"));
  rig.Apply(JobSubmitted{.request = Job("waiting", Queue("q", "old"))});
  rig.Configure(2, {Queue("q", "new")});

  SECTION("a job that waits starts there") {
    rig.Plan();
    CHECK(rig.IsOn(kNewWorker, "waiting"));
  }
  SECTION("also if it got another name at once") {
    rig.Configure(2, {Queue("r", "new")});
    rig.Plan();
    CHECK(rig.IsOn(kNewWorker, "waiting"));
  }
  SECTION("a run goes on, and starts there once its worker has left") {
    rig.Plan();
    CHECK(rig.IsOn(kOldWorker, "running"));
    rig.Apply(
        WorkerEmptied{.incarnation = kOldWorker, .incarnation_ended = true});
    rig.Plan();
    CHECK(rig.IsOn(kNewWorker, "running"));
  }
  SECTION("after a restart of everything, too") {
    rig.Plan();
    rig.RestartFromSnapshot();
    CHECK(rig.QueueOfJob("running").service == "new");
    CHECK(rig.ledger.FindJob("running")->has_moved);
    CHECK(rig.ledger.rules_version() == 2);
  }
  SECTION("a planner with an older configuration does not undo that") {
    rig.Plan();
    rig.Configure(1, {Queue("q", "old")});
    rig.Apply(PlannerElected{.entry = "f", .epoch = 2});
    rig.Plan();
    CHECK(rig.QueueOfJob("running").service == "new");
  }
  SECTION("a job that an entry with an older configuration accepts follows") {
    rig.Plan();
    rig.Apply(JobSubmitted{.request = Job("late", Queue("q", "old"))});
    rig.Plan();
    CHECK(rig.QueueOfJob("late").service == "new");
  }
  SECTION("it is decided once, and not beside starts at the old service") {
    rig.Plan(1);
    CHECK_FALSE(rig.IsOn(kOldWorker, "waiting"));
    rig.Plan(3);
    CHECK(rig.changes == 1);
  }
  SECTION("its runs on workers of the old one count for neither") {
    rig.Plan();
    const LedgerJob& job = *rig.ledger.FindJob("running");
    CHECK_FALSE(
        rig.ledger.IsAtServiceOfJob(job, job.occurrences[0][0].units[0]));
  }
}

// Guards against jobs that cannot be found, counted or placed because their
// queue has another name or address than when they were accepted.
TEST_CASE("changed queue: which one a job belongs to", "[changed_queue]") {
  Rig rig;
  rig.Apply(JobSubmitted{.request = Job("j", Queue("q", "old"))});
  const auto is_found_through = [&](const QueueRule& queue) {
    return rig.rules.rules.IsQueueOf(queue, rig.QueueOfJob("j"));
  };

  SECTION("the one at its address, whatever its name is") {
    const QueueRule renamed = Queue("r", "old");
    rig.Configure(2, {Queue("q", "old", "/other/"), renamed});
    CHECK(is_found_through(renamed));
    CHECK_FALSE(is_found_through(Queue("q", "old", "/other/")));
    rig.Plan();
    CHECK(rig.QueueOfJob("j") == renamed.job_queue());
  }
  SECTION("or else the one of its name, at another address") {
    const QueueRule moved = Queue("q", "old", "/new/");
    rig.Configure(2, {Queue("s", "old", "/other/"), moved});
    CHECK(is_found_through(moved));
    CHECK_FALSE(is_found_through(Queue("s", "old", "/other/")));
    rig.Plan();
    CHECK(rig.QueueOfJob("j") == moved.job_queue());
  }
  SECTION("none while it is removed: the job goes on as before") {
    rig.Configure(2, {Queue("s", "new", "/other/")});
    CHECK_FALSE(is_found_through(Queue("s", "new", "/other/")));
    rig.Plan();
    CHECK(rig.IsOn(kOldWorker, "j"));
    rig.Configure(3, {Queue("q", "old")});
    CHECK(is_found_through(Queue("q", "old")));
  }
  SECTION("of an earlier version, which has kept no address: by its name") {
    JobRequest job = Job("k", Queue("q", "old"));
    job.address = {};
    rig.Apply(JobSubmitted{.request = job});
    rig.Plan();
    CHECK(rig.QueueOfJob("k") == Queue("q", "old").job_queue());
    rig.Configure(2, {Queue("r", "new")});
    rig.Plan();
    CHECK(rig.QueueOfJob("k") == Queue("r", "new").job_queue());
  }
  SECTION("such a job that has ended, after a rename: by its id alone") {
    const JobQueue unknown{.queue = "gone", .service = "old"};
    CHECK(rig.rules.rules.IsQueueOf(Queue("q", "old"), unknown));
  }
  SECTION("jobs that have ended keep their address") {
    rig.Apply(JobCancelled{.job = "j"});
    rig.RestartFromSnapshot();
    rig.Configure(2, {Queue("r", "old")});
    CHECK(is_found_through(Queue("r", "old")));
  }
  SECTION("jobs that wait are counted for it") {
    const auto counts = rig.ledger.QueuedJobCounts();
    REQUIRE(counts.size() == 1);
    CHECK(counts.begin()->first == Queue("q", "old").job_queue());
    CHECK(counts.begin()->second == 1);
  }
}

// Guards against run times that are forgotten with the name of their queue.
TEST_CASE("changed queue: what was learned of it", "[changed_queue]") {
  RunTimeModel model;
  for (int n = 0; n < 40; ++n) {
    const std::string id = "j" + std::to_string(n);
    model.Add(kNow, {.task = {.job = id},
                     .run = 1,
                     .agent = "a",
                     .queue = "q",
                     .declared = 1s,
                     .run_time = 4s});
  }
  const JobRequest job = Job("k", Queue("r", "old"));
  REQUIRE_FALSE(model.IsLearned(job, 0));
  model.OnQueueRenamed("q", "r");
  CHECK(model.IsLearned(job, 0));
}

}  // namespace
}  // namespace marjoramplank
