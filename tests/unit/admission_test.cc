// Which new jobs an entry rejects for want of capacity, by ledger and rules.

#include "src/admission/admission.h"

#include <catch2/catch.hpp>
#include <string>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

using Verdict = AdmissionDecision::Verdict;

constexpr Time kStart = 100s;
constexpr Duration kBatchTime = 8s;
constexpr Duration kUrgentTime = 2s;

QueueTerms BatchTerms() {
  return {.queue = "batch",
          .service = "s",
          .priority = 2,
          .max_attempts = 4,
          .stretch = 3,
          .target = 3s};
}

QueueTerms UrgentTerms() {
  return {.queue = "urgent",
          .service = "s",
          .priority = 0,
          .max_attempts = 4,
          .stretch = 1.5,
          .target = 300ms};
}

const JobStep kBatch = {.tasks = 39,
                        .need = {.cpu_milli = 4'000, .accelerators = 1},
                        .estimate = kBatchTime};
const JobStep kUrgent = {.tasks = 4,
                         .need = {.cpu_milli = 8'000, .accelerators = 2},
                         .estimate = kUrgentTime,
                         .gang = true};

class World {
 public:
  explicit World(int workers) {
    rules.loaded = true;
    rules.rules.accounts = {{.name = "owner", .guaranteed_accelerators = 8}};
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < workers; ++n) {
      AddWorker(n);
    }
    Settle();
  }

  void AddWorker(int n, const std::string& label = "") {
    ledger.Apply(
        now,
        WorkerReported{
            .agent = "agent" + std::to_string(n),
            .incarnation = Incarnation(n),
            .service = "s",
            .data_centre = "d",
            .rack = "r",
            .labels = label.empty() ? std::vector<std::string>()
                                    : std::vector<std::string>{label},
            .capacity = {
                .cpu_milli = 64'000, .memory_mb = 256'000, .accelerators = 8}});
  }

  // All workers are known.
  void Settle() {
    workers.Update(now, ledger);
    now += 5s;
    workers.Update(now, ledger);
  }

  static WorkerIncarnation Incarnation(int n) {
    return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
  }

  JobRequest Job(const std::string& account,
                 const QueueTerms& terms,
                 const JobStep& step) {
    return {.id = account + "-" + std::to_string(submitted++),
            .account = account,
            .payload = "p",
            .steps = {step},
            .terms = terms};
  }

  void Submit(const JobRequest& request) {
    REQUIRE(ledger.Apply(now, JobSubmitted{.request = request}));
  }

  void Plan() {
    for (const auto& [name, agent] : std::map(ledger.agents())) {
      ledger.Apply(now, AgentHeartbeat{.agent = name,
                                       .heard_worker = agent.incarnation,
                                       .heard_ago = 0ms});
    }
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now, .epoch = 1, .ledger = ledger, .rules = rules})) {
      ledger.Apply(now, r);
    }
  }

  // Jobs of the queue run, one task each, and take `run_time`.
  void Learn(const QueueTerms& terms, Duration declared, Duration run_time) {
    for (int n = 0; n < 3; ++n) {
      const JobRequest job =
          Job("learning", terms,
              {.need = {.accelerators = 1}, .estimate = declared});
      Submit(job);
      REQUIRE(ledger.Apply(
          now, RunStarted{.epoch = 1,
                          .first = {.job = job.id},
                          .run = 1,
                          .members = {{.incarnation = Incarnation(0)}}}));
      REQUIRE(ledger.Apply(now, TaskEnded{.incarnation = Incarnation(0),
                                          .end_number = submitted,
                                          .task = {.job = job.id},
                                          .run = 1,
                                          .run_time = run_time}));
    }
  }

  AdmissionDecision Decide(const JobRequest& request) {
    load = MeasureLoad(now, ledger, options.default_estimate);
    return DecideNow(request);
  }

  AdmissionDecision DecideNow(const JobRequest& request) const {
    return DecideAdmission({.now = now,
                            .ledger_age = ledger_age,
                            .ledger_loaded = true,
                            .ledger = ledger,
                            .rules = rules,
                            .workers = workers,
                            .load = load,
                            .request = request},
                           options);
  }

  bool Accepts(const JobRequest& request) {
    return Decide(request).verdict == Verdict::kAccept;
  }

  Time now = kStart;
  Duration ledger_age{100};
  Ledger ledger;
  RulesView rules;
  KnownWorkers workers;
  LoadSnapshot load;
  AdmissionOptions options;
  int submitted = 0;
};

// Guards against: a job waits for ever for a worker that does not exist, and
// its client learns nothing.
TEST_CASE("a job that no known worker could ever run", "[admission]") {
  World world(2);

  SECTION("the label, the size and the width are checked") {
    JobStep step{.need = {.accelerators = 1}, .required_label = "gone"};
    AdmissionDecision decision =
        world.Decide(world.Job("a", BatchTerms(), step));
    CHECK(decision.verdict == Verdict::kUnrunnable);
    CHECK(decision.reason ==
          "steps[0]: none of the 2 known workers of the service has the "
          "required label");
    CHECK(decision.retry_after == 30s);

    step = {.need = {.accelerators = 9}};
    decision = world.Decide(world.Job("a", BatchTerms(), step));
    CHECK(decision.verdict == Verdict::kUnrunnable);
    CHECK(decision.reason ==
          "steps[0]: none of the 2 known workers of the service has the "
          "capacity for a task");

    step = {.tasks = 3, .need = {.accelerators = 8}, .gang = true};
    decision = world.Decide(world.Job("a", BatchTerms(), step));
    CHECK(decision.verdict == Verdict::kUnrunnable);
    CHECK(decision.reason ==
          "steps[0]: the gang has 3 tasks, and all of the 2 known workers of "
          "the service hold 2");

    step = {.tasks = 3, .gang = true, .max_per_worker = 1};
    CHECK_FALSE(world.Accepts(world.Job("a", BatchTerms(), step)));
  }

  SECTION("tasks that need not run at the same time may take turns") {
    CHECK(world.Accepts(world.Job(
        "a", BatchTerms(), {.tasks = 100, .need = {.accelerators = 8}})));
    CHECK(world.Accepts(
        world.Job("a", BatchTerms(), {.tasks = 100, .max_per_worker = 1})));
  }

  SECTION("a later step counts") {
    JobRequest job = world.Job("a", BatchTerms(), kBatch);
    job.steps.push_back({.need = {.accelerators = 9}, .after = {0}});
    CHECK_FALSE(world.Accepts(job));
  }

  const JobRequest labelled =
      world.Job("a", BatchTerms(), {.required_label = "fast"});

  SECTION("workers still unknown: accepted") {
    World empty(0);
    CHECK(empty.Accepts(labelled));
    empty.AddWorker(0);
    empty.workers.Update(empty.now, empty.ledger);
    CHECK(empty.Accepts(labelled));
    empty.now += 4900ms;
    CHECK(empty.Accepts(labelled));
    empty.now += 100ms;
    CHECK_FALSE(empty.Accepts(labelled));
  }

  SECTION("accepted while the set of workers changes") {
    REQUIRE_FALSE(world.Accepts(labelled));
    world.AddWorker(2);
    world.workers.Update(world.now, world.ledger);
    CHECK(world.Accepts(labelled));
  }

  SECTION("a worker that left lately counts as present") {
    world.AddWorker(2, "fast");
    world.Settle();
    REQUIRE(world.ledger.Apply(
        world.now, WorkerEmptied{.incarnation = World::Incarnation(2),
                                 .incarnation_ended = true}));
    world.Settle();
    CHECK(world.Accepts(labelled));
    world.now += 20s;
    world.workers.Update(world.now, world.ledger);
    CHECK(world.Accepts(labelled));
    world.now += 10s;
    world.workers.Update(world.now, world.ledger);
    CHECK_FALSE(world.Accepts(labelled));
  }

  SECTION("stale ledger: accepted") {
    world.ledger_age = 1001ms;
    CHECK(world.Accepts(labelled));
  }
}

// Guards against: clients wait for jobs that cannot end in time, or are sent
// away without need.
TEST_CASE("a job that could not end while it earns credit", "[admission]") {
  World world(10);
  world.Learn(BatchTerms(), kBatchTime, kBatchTime);
  world.Learn(UrgentTerms(), kUrgentTime, kUrgentTime);

  SECTION("ten accounts, one sends forty batch jobs") {
    int rejected = 0;
    for (int n = 0; n < 40; ++n) {
      const JobRequest job = world.Job("big", BatchTerms(), kBatch);
      const AdmissionDecision decision = world.Decide(job);
      if (decision.verdict == Verdict::kAccept) {
        world.Submit(job);
        world.Plan();
        continue;
      }
      ++rejected;
      CHECK(decision.verdict == Verdict::kTooLate);
      CHECK(decision.retry_after >= 1s);
      CHECK(decision.retry_after <= 30s);
      // Half of the wait of 146 s and a run of 8 s make 81 s: 3 x 27 s.
      CHECK(decision.expected_wait > 146s);
    }
    CHECK(rejected >= 1);
    CHECK(rejected <= 4);
    for (int n = 0; n < 9; ++n) {
      const JobRequest job =
          world.Job("small" + std::to_string(n), BatchTerms(), kBatch);
      CHECK(world.Accepts(job));
      world.Submit(job);
    }
    SECTION("and work of a higher priority does not wait for batch work") {
      CHECK(world.Accepts(world.Job("small", UrgentTerms(), kUrgent)));
    }
  }

  // 300 gangs of 4 tasks of 2 accelerators and 2 s, on 80 accelerators: 60 s.
  const auto fill_with_urgent_work = [&] {
    for (int n = 0; n < 300; ++n) {
      world.Submit(world.Job("big", UrgentTerms(), kUrgent));
    }
    world.Plan();
  };

  SECTION("guaranteed job on a full cluster is accepted") {
    fill_with_urgent_work();
    REQUIRE_FALSE(world.Accepts(world.Job("big", UrgentTerms(), kUrgent)));
    CHECK(world.Accepts(world.Job("owner", UrgentTerms(), kUrgent)));
    SECTION("if the account keeps within its guarantee with it") {
      JobStep wide = kUrgent;
      wide.tasks = 5;
      world.Submit(world.Job("owner", UrgentTerms(), kUrgent));
      for (int n = 0; n < 300; ++n) {
        world.Submit(world.Job("owner", UrgentTerms(), wide));
      }
      CHECK_FALSE(world.Accepts(world.Job("owner", UrgentTerms(), wide)));
      CHECK(world.Accepts(world.Job("owner", UrgentTerms(), kUrgent)));
    }
  }

  SECTION("nothing refused while its shape stands free") {
    JobStep whole = kUrgent;
    whole.need.accelerators = 8;
    for (int n = 0; n < 300; ++n) {
      world.Submit(world.Job("big", UrgentTerms(), whole));
    }
    // Nothing runs: the planner is away.
    CHECK(world.Accepts(world.Job("big", UrgentTerms(), kUrgent)));
    world.Plan();
    CHECK(world.Accepts(world.Job("big", UrgentTerms(), kUrgent)));
    CHECK_FALSE(world.Accepts(world.Job("big", UrgentTerms(), whole)));
  }

  SECTION("stale ledger: accepted") {
    fill_with_urgent_work();
    const JobRequest job = world.Job("big", UrgentTerms(), kUrgent);
    REQUIRE_FALSE(world.Accepts(job));
    world.ledger_age = 1001ms;
    CHECK(world.Accepts(job));
    world.ledger_age = 0ms;
    REQUIRE(world.DecideNow(job).verdict == Verdict::kTooLate);
    SECTION("and with an old measurement of the load") {
      world.now += 1001ms;
      CHECK(world.DecideNow(job).verdict == Verdict::kAccept);
    }
  }

  SECTION("accepted if the queue's run times are unknown") {
    fill_with_urgent_work();
    QueueTerms terms = UrgentTerms();
    terms.queue = "new";
    CHECK(world.Accepts(world.Job("big", terms, kUrgent)));
  }

  SECTION("accepted if it has due times or lasts") {
    fill_with_urgent_work();
    JobRequest job = world.Job("big", UrgentTerms(), kUrgent);
    REQUIRE_FALSE(world.Accepts(job));
    job.recurrence = {
        .occurrence_count = 2, .first_due_unix_ms = 1, .interval_ms = 1'000};
    CHECK(world.Accepts(job));
    job.recurrence = {};
    job.steps[0].long_running = true;
    CHECK(world.Accepts(job));
  }

  SECTION("the retry time is that until the queue is short enough") {
    fill_with_urgent_work();
    const AdmissionDecision decision =
        world.Decide(world.Job("big", UrgentTerms(), kUrgent));
    // Limit 9.9 s, of which the job takes 2 s: 15.8 s may be queued.
    CHECK(decision.retry_after ==
          std::min(Duration(30s), decision.expected_wait - 15'800ms));
    CHECK(decision.expected_wait > 50s);
    CHECK(decision.expected_wait <= 60s);
  }

  SECTION("work that is served after it does not count") {
    const JobRequest job = world.Job("a", BatchTerms(), kBatch);
    // A later deadline.
    QueueTerms terms = BatchTerms();
    terms.target = 300s;
    for (int n = 0; n < 100; ++n) {
      world.Submit(world.Job("a", terms, kBatch));
    }
    world.Plan();
    CHECK(world.Accepts(job));
    // No credit any more.
    world.now += 1000s;
    world.Settle();
    world.Plan();
    CHECK(world.Accepts(job));
  }
}

// Why a rejection writes nothing to the log: a cancellation of an id that is
// not submitted yet cancels the client's next try, too.
TEST_CASE("a withdrawal on the log would cancel the next try", "[admission]") {
  World world(1);
  const JobRequest job = world.Job("a", BatchTerms(), kBatch);
  REQUIRE(world.ledger.Apply(world.now, JobCancelled{.job = job.id}));
  world.Submit(job);
  CHECK(world.ledger.FindJob(job.id)->phase == JobPhase::kCancelled);
}

}  // namespace
}  // namespace marjoramplank
