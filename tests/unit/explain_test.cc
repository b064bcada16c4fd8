// What an explanation says would happen to a job, and that it changes nothing.

#include "src/explain/explain.h"

#include <catch2/catch.hpp>
#include <string>

#include "src/explain/explain_json.h"
#include "src/jobs/ledger_snapshot.h"
#include "tests/support/trained_ledger.h"

namespace marjoramplank {
namespace {

using Outcome = Explanation::Unit::Outcome;

constexpr Resources kCapacity = {.cpu_milli = 64'000,
                                 .memory_mb = 256'000,
                                 .accelerators = 8};

QueueTerms Terms(std::int32_t priority) {
  return {.queue = priority == 0 ? "urgent" : "batch",
          .service = "s",
          .priority = priority,
          .max_attempts = 4,
          .stretch = 3,
          .target = 3s};
}

class World {
 public:
  explicit World(int workers) {
    rules.loaded = true;
    rules.rules.accounts = {{.name = "owner", .guaranteed_accelerators = 8},
                            {.name = "other"}};
    rules.rules.queues = {{.terms = Terms(0)}, {.terms = Terms(2)}};
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < workers; ++n) {
      ledger.Apply(now, WorkerReported{.agent = "agent" + std::to_string(n),
                                       .incarnation = Incarnation(n),
                                       .service = "s",
                                       .data_centre = "d",
                                       .rack = "r" + std::to_string(n),
                                       .capacity = kCapacity});
    }
    Heartbeats();
  }

  static WorkerIncarnation Incarnation(int n) {
    return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
  }

  void Heartbeats() {
    for (const auto& [name, agent] : std::map(ledger.agents())) {
      ledger.Apply(now, AgentHeartbeat{.agent = name,
                                       .heard_worker = agent.incarnation,
                                       .heard_ago = 0ms});
    }
  }

  void Submit(const JobRequest& request) {
    REQUIRE(ledger.Apply(now, JobSubmitted{.request = request}));
  }

  // Fills each worker with single tasks of the batch queue, started a while
  // ago; more of them wait.
  void Fill(std::int32_t tasks) {
    Submit({.id = "filler",
            .account = "other",
            .payload = "p",
            .steps = {{.tasks = tasks,
                       .need = {.cpu_milli = 4'000, .accelerators = 1},
                       .estimate = 8s}},
            .terms = Terms(2)});
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now, .epoch = 1, .ledger = ledger, .rules = rules})) {
      REQUIRE(ledger.Apply(now, r));
    }
    now += 1s;
    Heartbeats();
  }

  Explanation Explain(const JobRequest& request) {
    return marjoramplank::Explain(options, {.now = now,
                                            .ledger = ledger.CopyForPlanning(),
                                            .rules = rules,
                                            .request = request});
  }

  Time now = 100s;
  Ledger ledger;
  RulesView rules;
  Dispatcher::Options options;
};

JobRequest Job(std::int32_t priority, const JobStep& step) {
  return {.id = "new",
          .account = "owner",
          .steps = {step},
          .terms = Terms(priority)};
}

// Guards against: the explanation differs from what the planner then does.
TEST_CASE("an explained job that starts at once", "[explain]") {
  World world(2);
  TrainMachines(world.ledger, world.now,
                {{World::Incarnation(0), 1}, {World::Incarnation(1), 2.2}});
  world.now += 1s;
  const JobRequest job = Job(
      0, {.tasks = 4,
          .need = {.cpu_milli = 8'000, .memory_mb = 1'000, .accelerators = 2},
          .estimate = 2s,
          .gang = true});
  const Explanation explanation = world.Explain(job);

  CHECK(explanation.admission.verdict == AdmissionDecision::Verdict::kAccept);
  REQUIRE(explanation.step_times.size() == 1);
  CHECK(explanation.step_times[0].expected == 2s);
  CHECK(explanation.step_times[0].source ==
        Explanation::StepTime::Source::kDeclared);
  REQUIRE(explanation.ready_steps.size() == 1);
  const Explanation::Step& step = explanation.ready_steps[0];
  CHECK(step.position.units_ahead == 0);
  CHECK(step.position.is_guaranteed);
  CHECK(step.starting_units == 1);
  CHECK(step.workers.known == 2);
  CHECK(step.workers.possible_tasks == 8);
  REQUIRE(step.units.size() == 1);
  CHECK(step.units[0].outcome == Outcome::kStarts);

  SECTION("the workers are shown with what is known of them") {
    REQUIRE(step.units[0].places.size() == 1);
    const Explanation::Place& place = step.units[0].places[0];
    CHECK(place.worker == "w0");
    CHECK(place.rack == "r0");
    CHECK(place.data_centre == "d");
    CHECK(place.tasks == 4);
    CHECK(place.speed_class == 0);
    CHECK(place.samples == 4);
    CHECK(place.sample_age == 1s);
    CHECK(place.free == kCapacity);
  }

  SECTION("the planner does the same") {
    world.Submit(job);
    const std::vector<LedgerRecord> plan =
        Dispatcher({}).Plan({.now = world.now,
                             .epoch = 1,
                             .ledger = world.ledger,
                             .rules = world.rules});
    REQUIRE(plan.size() == 1);
    for (const MemberPlace& m : std::get<RunStarted>(plan[0]).members) {
      CHECK(m.incarnation.id == "w0");
    }
  }
}

// Guards against: the copy plans with other queues or machines than the ledger.
TEST_CASE("an explained job that waits", "[explain]") {
  World world(1);

  SECTION("behind others") {
    world.Fill(12);
    JobRequest job =
        Job(2, {.tasks = 2, .need = {.accelerators = 1}, .estimate = 8s});
    job.account = "other";
    const Explanation::Step step = world.Explain(job).ready_steps.at(0);
    CHECK(step.position.units_ahead == 4);
    CHECK(step.position.waiting_units == 2);
    REQUIRE(step.units.size() == 2);
    CHECK(step.units[0].outcome == Outcome::kWaits);
    CHECK(step.units[0].reason ==
          "no room: running tasks and units ahead of it take it all");
    CHECK(step.workers.busy == 1);
    CHECK(step.starting_units == 0);
    // The same of an account below its fair share goes first.
    job.account = "owner";
    CHECK(world.Explain(job).ready_steps.at(0).position.units_ahead == 0);
  }

  SECTION("a gang gets a reservation") {
    World two(2);
    two.Fill(16);
    const Explanation::Step step =
        two.Explain(Job(2, {.tasks = 2,
                            .need = {.accelerators = 4},
                            .estimate = 8s,
                            .gang = true}))
            .ready_steps.at(0);
    CHECK(step.units.at(0).outcome == Outcome::kReserved);
    CHECK(step.units.at(0).expected_wait == 7s);
    CHECK(step.units.at(0).reserved_workers == 1);
  }

  SECTION("nothing has its label, its size, or is open") {
    const auto reason = [&](const JobStep& s) {
      return world.Explain(Job(2, s)).ready_steps.at(0).units.at(0).reason;
    };
    CHECK(reason({.required_label = "gone"}) == "no worker has the label gone");
    CHECK(reason({.need = {.accelerators = 9}}) ==
          "no worker with its label is large enough for a task");
    CHECK(reason({.tasks = 3, .need = {.accelerators = 4}, .gang = true}) ==
          "the gang has 3 tasks, and the usable workers hold 2");
    world.rules.closed_data_centres = {"d"};
    CHECK(reason({}) ==
          "every worker that is large enough is in a closed data centre, "
          "draining or not heard lately");
    world.rules.closed_data_centres.clear();
    CHECK(reason({}).empty());
  }

  SECTION("the service has no worker") {
    CHECK(World(0).Explain(Job(2, {})).ready_steps.at(0).units.at(0).reason ==
          "the service has no worker");
  }

  SECTION("faster machines are expected soon") {
    World two(2);
    TrainMachines(two.ledger, two.now,
                  {{World::Incarnation(0), 1}, {World::Incarnation(1), 2.2}});
    // Takes the fast machine, nearly to its end.
    two.Submit(Job(0, {.tasks = 8,
                       .need = {.cpu_milli = 4'000, .accelerators = 1},
                       .estimate = 2s,
                       .gang = true}));
    for (const LedgerRecord& r : Dispatcher({}).Plan({.now = two.now,
                                 .epoch = 1,
                                 .ledger = two.ledger,
                                 .rules = two.rules})) {
      REQUIRE(two.ledger.Apply(two.now, r));
    }
    two.now += 1500ms;
    two.Heartbeats();
    JobRequest job = Job(0, {.tasks = 4,
                             .need = {.cpu_milli = 4'000, .accelerators = 1},
                             .estimate = 2s,
                             .gang = true});
    job.id = "waits-for-fast";
    job.account = "other";
    job.terms.stretch = 1.5;
    job.terms.target = 300ms;
    const Explanation::Unit unit =
        two.Explain(job).ready_steps.at(0).units.at(0);
    CHECK(unit.outcome == Outcome::kWaitsForFast);
    CHECK(unit.expected_wait == 500ms);
    CHECK(unit.slow_run_time > unit.expected_run_time);
  }
}

// Guards against: an operator is not told what an urgent job would stop.
TEST_CASE("an explained job that would preempt", "[explain]") {
  World world(1);
  world.Fill(8);
  const Explanation::Unit unit =
      world
          .Explain(Job(0, {.tasks = 2,
                           .need = {.cpu_milli = 4'000, .accelerators = 1},
                           .estimate = 2s,
                           .gang = true}))
          .ready_steps.at(0)
          .units.at(0);
  CHECK(unit.outcome == Outcome::kPreempts);
  REQUIRE(unit.victims.size() == 2);
  CHECK(unit.victims[0].unit.job == "filler");
  CHECK(unit.victims[0].queue == "batch");
  CHECK(unit.victims[0].account == "other");
  CHECK(unit.lost_core_seconds > 0);
}

// Guards against: an explanation that submits, or that keeps the payloads and
// checkpoints of all jobs in memory twice.
TEST_CASE("an explanation does not change the ledger", "[explain]") {
  World world(1);
  world.Fill(12);
  const std::string before = LedgerSnapshot::Save(world.ledger, 1);
  const Ledger copy = world.ledger.CopyForPlanning();
  const JobRequest job = Job(0, {.tasks = 2, .need = {.accelerators = 1}});
  CHECK_FALSE(world.Explain(job).ready_steps.empty());
  CHECK(LedgerSnapshot::Save(world.ledger, 1) == before);
  CHECK(world.ledger.FindJob("new") == nullptr);
  // Eight at work, and the others, which wait alike.
  CHECK(world.ledger.OpenUnitCount() == 9);
  CHECK(copy.OpenUnitCount() == 9);
  CHECK(copy.FindJob("filler")->request.payload.empty());
  for (const auto& [task, run] : copy.FindWorker(World::Incarnation(0))->runs) {
    CHECK(run.payload.empty());
  }
}

// Guards against: a wide step makes a report that is too large to read.
TEST_CASE("a wide step is listed up to a limit", "[explain]") {
  World world(40);
  const Explanation::Step step =
      world.Explain(Job(2, {.tasks = 300, .need = {.accelerators = 1}}))
          .ready_steps.at(0);
  CHECK(step.units.size() == kMaxListedUnits);
  CHECK(step.starting_units == 300);
}

// Guards against: a typing error that is ignored, so that another job is
// explained than the one meant.
TEST_CASE("the body of an explanation", "[explain]") {
  const World world(1);
  std::vector<FieldError> errors;
  const auto parse = [&](const std::string& body) {
    errors.clear();
    return ParseExplainedJob(body, world.rules.rules, errors);
  };
  const auto first_path = [&](const std::string& body) {
    parse(body);
    return errors.empty() ? "" : errors.front().path;
  };

  SECTION("queue and account are looked up, the rest has defaults") {
    const JobRequest job = parse(
        R"({"queue":"urgent","account":"owner","steps":[{"tasks":2,"gang":true,
        "accelerators":3,"expected_run_time_ms":2000},{"after":[0]}]})");
    CHECK(errors.empty());
    CHECK(job.terms == Terms(0));
    CHECK(job.account == "owner");
    CHECK_FALSE(job.id.empty());
    REQUIRE(job.steps.size() == 2);
    CHECK(job.steps[0] == JobStep{.tasks = 2,
                                  .need = {.accelerators = 3},
                                  .estimate = 2s,
                                  .gang = true});
    CHECK(job.steps[1] == JobStep{.after = {0}});
    const std::string report = RenderExplanation(job, World(1).Explain(job));
    CHECK(report.find(R"("outcome":"starts")") != std::string::npos);
  }

  SECTION("faults are reported with their paths") {
    const std::string head = R"({"queue":"urgent","account":"owner",)";
    CHECK(first_path("[]") == "body");
    CHECK(first_path("{") == "body");
    CHECK(first_path(R"({"account":"owner","steps":[{}]})") == "queue");
    CHECK(first_path(R"({"queue":"x","account":"owner","steps":[{}]})") ==
          "queue");
    CHECK(first_path(R"({"queue":"urgent","steps":[{}]})") == "account");
    CHECK(first_path(R"({"queue":"urgent","account":"x","steps":[{}]})") ==
          "account");
    CHECK(first_path(head + R"("id":"x"})") == "steps");
    CHECK(first_path(head + R"("steps":[]})") == "job");
    CHECK(first_path(head + R"("steps":[{},{"tasks":"2"}]})") ==
          "steps[1].tasks");
    CHECK(first_path(head + R"("steps":[{"tasks":1e30}]})") ==
          "steps[0].tasks");
    CHECK(first_path(head + R"("steps":[{"gpus":1}]})") == "steps[0].gpus");
    CHECK(first_path(head + R"("steps":[{"after":["0"]}]})") ==
          "steps[0].after");
    CHECK(first_path(head + R"("steps":[{"after":[99999999999]}]})") ==
          "steps[0].after");
    CHECK(first_path(head + R"("steps":[{"after":[0]}]})") == "steps[0]");
    CHECK(first_path(head + R"("steps":[{"tasks":0}]})") == "steps[0]");
    CHECK(first_path(head + R"("steps":[{"expected_run_time_ms":-1}]})") ==
          "steps[0].expected_run_time_ms");
    CHECK(first_path(head + R"("steps":[{"accelerators":-1}]})") == "steps[0]");
    CHECK(RenderFieldErrors(errors).find(R"("path":"steps[0]")") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace marjoramplank
