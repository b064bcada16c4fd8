// Properties of the admission of new jobs, on random ledgers and models.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/admission/admission.h"
#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

using Verdict = AdmissionDecision::Verdict;

constexpr Time kNow = 100s;
constexpr std::int64_t kGuarantee = 8;

JobRequest MakeJob(int n) {
  const int priority = *rc::gen::inRange(0, 3);
  const int tasks = *rc::gen::inRange(1, 20);
  return {.id = "j" + std::to_string(n),
          .account = std::to_string(*rc::gen::inRange(0, 3)),
          .payload = "p",
          .steps = {{.tasks = tasks,
                     .need = {.cpu_milli = 1000 * *rc::gen::inRange(0, 9),
                              .accelerators = *rc::gen::inRange(0, 9)},
                     .estimate = Duration(*rc::gen::inRange(0, 60'000)),
                     .gang = *rc::gen::arbitrary<bool>(),
                     .required_label = *rc::gen::element<std::string>(
                         "", "", "", "even", "none"),
                     .max_per_worker = *rc::gen::inRange(0, 3)}},
          .terms = {.queue = "q" + std::to_string(priority),
                    .service = "s",
                    .priority = priority,
                    .max_attempts = 2,
                    .stretch = *rc::gen::element(1.0, 1.5, 3.0),
                    .target = Duration(*rc::gen::inRange(0, 3'000))}};
}

struct World {
  Ledger ledger;
  RulesView rules;
  KnownWorkers workers;
  int workers_count = 0;
};

// Whatever the model believes: run times from 1 ms to a day.
void Learn(Ledger& ledger, std::int64_t& ends) {
  for (int priority = 0; priority < 3; ++priority) {
    for (int n = 0; n < 3; ++n) {
      const std::string id =
          "l" + std::to_string(priority) + "-" + std::to_string(n);
      const WorkerIncarnation worker{.id = "w0", .started_at_unix_ms = 1};
      ledger.Apply(
          kNow,
          JobSubmitted{
              .request = {.id = id,
                          .account = "0",
                          .payload = "p",
                          .steps = {{}},
                          .terms = {.queue = "q" + std::to_string(priority),
                                    .service = "s",
                                    .priority = priority,
                                    .max_attempts = 2}}});
      ledger.Apply(kNow, RunStarted{.epoch = 1,
                                    .first = {.job = id},
                                    .run = 1,
                                    .members = {{.incarnation = worker}}});
      ledger.Apply(kNow, TaskEnded{.incarnation = worker,
                                   .end_number = ++ends,
                                   .task = {.job = id},
                                   .run = 1,
                                   .run_time = Duration(*rc::gen::element(
                                       1, 100, 8'000, 60'000, 86'400'000))});
    }
  }
}

World MakeWorld() {
  World out;
  out.rules.loaded = true;
  out.rules.rules.accounts = {
      {.name = "0", .guaranteed_accelerators = kGuarantee}};
  out.workers_count = *rc::gen::inRange(1, 8);
  out.ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < out.workers_count; ++n) {
    out.ledger.Apply(
        kNow,
        WorkerReported{.agent = "agent" + std::to_string(n),
                       .incarnation = {.id = "w" + std::to_string(n),
                                       .started_at_unix_ms = 1},
                       .service = "s",
                       .data_centre = "d",
                       .rack = "r",
                       .labels = n % 2 == 0 ? std::vector<std::string>{"even"}
                                            : std::vector<std::string>(),
                       .capacity = {.cpu_milli = 32'000, .accelerators = 8}});
  }
  std::int64_t ends = 0;
  Learn(out.ledger, ends);
  const int jobs = *rc::gen::inRange(0, 200);
  for (int n = 0; n < jobs; ++n) {
    out.ledger.Apply(kNow, JobSubmitted{.request = MakeJob(n)});
  }
  for (const LedgerRecord& r : Dispatcher({}).Plan({.now = kNow,
                               .epoch = 1,
                               .ledger = out.ledger,
                               .rules = out.rules})) {
    out.ledger.Apply(kNow, r);
  }
  out.workers.Update(kNow - 10s, out.ledger);
  out.workers.Update(kNow, out.ledger);
  return out;
}

AdmissionDecision Decide(const World& world, const JobRequest& request) {
  const AdmissionOptions options;
  return DecideAdmission(
      {.now = kNow,
       .ledger_loaded = true,
       .ledger = world.ledger,
       .rules = world.rules,
       .workers = world.workers,
       .load = MeasureLoad(kNow, world.ledger, options.default_estimate),
       .request = request},
      options);
}

bool StartsAtOnce(World& world, const JobRequest& request) {
  world.ledger.Apply(kNow, JobSubmitted{.request = request});
  CapacityTable table;
  for (const auto& [incarnation, worker] : world.ledger.workers()) {
    table.Add(incarnation,
              {.entry = &worker, .free = worker.report.capacity - worker.used});
  }
  const LedgerJob& job = *world.ledger.FindJob(request.id);
  const JobStep& step = job.request.steps[0];
  return FindUnitPlacement(table,
                           {.job = &job,
                            .step = &step,
                            .unit = &job.occurrences[0][0].units[0],
                            .first_task = {.job = request.id},
                            .member_count = step.gang ? step.tasks : 1,
                            .member_need = step.need},
                           {.allow_any_rack = true})
      .has_value();
}

TEST_CASE("what admission never rejects", "[admission][property]") {
  rc::prop("a job whose shape is free", [] {
    World world = MakeWorld();
    const JobRequest job = MakeJob(1'000);
    const AdmissionDecision decision = Decide(world, job);
    const bool is_free = StartsAtOnce(world, job);
    RC_CLASSIFY(is_free, "free");
    RC_CLASSIFY(decision.verdict == Verdict::kTooLate, "too late");
    RC_CLASSIFY(decision.verdict == Verdict::kUnrunnable, "unrunnable");
    RC_ASSERT(!is_free || decision.verdict == Verdict::kAccept);
  });

  rc::prop("a job that the planner takes for guaranteed", [] {
    World world = MakeWorld();
    JobRequest job = MakeJob(1'000);
    job.account = "0";
    job.terms.priority = 0;
    const AdmissionDecision decision = Decide(world, job);
    std::int64_t wanted = 0;
    world.ledger.Apply(kNow, JobSubmitted{.request = job});
    for (const std::string& id : world.ledger.open_jobs()) {
      const JobRequest& r = world.ledger.FindJob(id)->request;
      if (r.account == "0" && r.terms.priority == 0) {
        wanted += r.steps[0].tasks * r.steps[0].need.accelerators;
      }
    }
    RC_CLASSIFY(wanted <= kGuarantee, "guaranteed");
    RC_ASSERT(wanted > kGuarantee || decision.verdict == Verdict::kAccept);
  });

  rc::prop("a job that could run on the workers, with an empty queue", [] {
    const JobRequest job = MakeJob(1'000);
    World empty = MakeWorld();
    for (const std::string& id : std::set(empty.ledger.open_jobs())) {
      empty.ledger.Apply(kNow, JobCancelled{.job = id});
    }
    for (const auto& [incarnation, worker] : std::map(empty.ledger.workers())) {
      empty.ledger.Apply(kNow, WorkerEmptied{.incarnation = incarnation});
      WorkerReported report = worker.report;
      report.accepting = true;
      empty.ledger.Apply(kNow, report);
    }
    RC_ASSERT(Decide(empty, job).verdict != Verdict::kTooLate);
  });

  rc::prop("a retry time is 1 to 30 s", [] {
    const World world = MakeWorld();
    const AdmissionDecision decision = Decide(world, MakeJob(1'000));
    RC_ASSERT(decision.verdict == Verdict::kAccept ||
              (decision.retry_after >= 1s && decision.retry_after <= 30s &&
               !decision.reason.empty()));
  });
}

}  // namespace
}  // namespace marjoramplank
