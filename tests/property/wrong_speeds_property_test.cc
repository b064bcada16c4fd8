#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "tests/support/trained_ledger.h"

namespace marjoramplank {
namespace {

constexpr int kWorkers = 4;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
constexpr std::int64_t kGuaranteed = 8;
constexpr Duration kStep = 100ms;
// Longest wait for a preferred rack or for faster machines, and two plans: one
// that stops runs, one that starts.
constexpr Duration kGuaranteeBound = 1200ms + 2 * kStep;
// Waits are bounded by the late limit of a job.
constexpr int kPlansUntilEmpty = 3000;

WorkerIncarnation Worker(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
}

struct Operation {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

void showValue(const Operation& operation, std::ostream& os) {
  os << "{" << operation.kind << "," << operation.a << "," << operation.b
     << "}";
}

rc::Gen<Operation> GenOperation() {
  return rc::gen::build<Operation>(
      rc::gen::set(&Operation::kind, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&Operation::a, rc::gen::inRange(0U, 10'000U)),
      rc::gen::set(&Operation::b, rc::gen::inRange(0U, 10'000U)));
}

// Carries out every decision at once. Run times are given by the operations and
// have nothing to do with what the model has learned.
class Cluster {
 public:
  explicit Cluster(const std::vector<std::uint32_t>& slowness_percent) {
    rules_.loaded = true;
    rules_.rules.accounts = {
        {.name = "a", .guaranteed_accelerators = kGuaranteed}, {.name = "b"}};
    ledger_.Apply(now_, PlannerElected{.entry = "e", .epoch = 1});
    std::vector<TrainedMachine> machines;
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(
          now_,
          WorkerReported{.agent = "a" + std::to_string(n),
                         .incarnation = Worker(n),
                         .service = "s",
                         .data_centre = "d",
                         .rack = "r" + std::to_string(n % 2),
                         .capacity = {.accelerators = kAcceleratorsPerWorker}});
      const std::uint32_t percent =
          slowness_percent[static_cast<std::size_t>(n)];
      if (percent > 0) {
        machines.push_back({.worker = Worker(n), .slowness = percent / 100.0});
      }
    }
    TrainMachines(ledger_, now_, machines);
  }

  void Submit(const Operation& o) {
    const bool is_guaranteed = o.kind % 3 == 0;
    const auto priority =
        static_cast<std::int32_t>(is_guaranteed ? 0 : o.b % 3);
    const bool is_gang = o.a % 2 == 0;
    const JobStep step{
        .tasks = static_cast<std::int32_t>(1 + o.a % 4),
        .need = {.accelerators = 1 + o.b % 2},
        .estimate = Duration(200 * (1 + o.b % 50)),
        .gang = is_gang,
        .same_rack = is_gang && o.b % 5 == 0,
        .checkpoints = o.a % 3 == 0,
        .data_rack = o.a % 7 == 0 ? "r" + std::to_string(o.b % 2) : ""};
    const std::int64_t wanted = step.tasks * step.need.accelerators;
    if (is_guaranteed && wanted > kGuaranteed - WantedByGuaranteed()) {
      return;
    }
    const std::string id = "j" + std::to_string(jobs_++);
    ledger_.Apply(now_,
                  JobSubmitted{.request = {.id = id,
                                           .account = is_guaranteed ? "a" : "b",
                                           .payload = "p",
                                           .steps = {step},
                                           .terms = {.queue = "q",
                                                     .service = "s",
                                                     .priority = priority,
                                                     .max_attempts = 2,
                                                     .stretch = 1.5,
                                                     .target = 300ms}}});
  }

  void Plan() {
    now_ += kStep;
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(now_, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                         .heard_worker = Worker(n),
                                         .heard_ago = 0ms});
    }
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now_, .epoch = 1, .ledger = ledger_, .rules = rules_})) {
      RC_ASSERT(ledger_.Apply(now_, r));
      CheckCapacity();
    }
    EndRuns([&](const TaskRef&, const LiveRun& run) { return run.must_stop; },
            TaskOutcome::kStopped);
  }

  void EndSomeJob(std::uint32_t n) {
    std::vector<std::string> running;
    for (const auto& [id, job] : ledger_.jobs()) {
      if (job.running_units > 0) {
        running.push_back(id);
      }
    }
    if (!running.empty()) {
      EndJob(running[n % running.size()]);
    }
  }

  // Each guaranteed job must run, or its wait must be within the bound.
  void CheckGuarantees() const {
    for (const std::string& id : ledger_.open_jobs()) {
      const LedgerJob& job = *ledger_.FindJob(id);
      if (job.request.account == "a") {
        RC_ASSERT(job.running_units > 0 ||
                  now_ - job.first_seen_at <= kGuaranteeBound);
      }
    }
  }

  // Ends all that runs, again and again: everything must get its turn.
  void RunUntilEmpty() {
    for (int n = 0; n < kPlansUntilEmpty && !ledger_.open_jobs().empty(); ++n) {
      Plan();
      EndRuns([](const TaskRef&, const LiveRun&) { return true; },
              TaskOutcome::kDone);
    }
    RC_ASSERT(ledger_.open_jobs().empty());
  }

 private:
  std::int64_t WantedByGuaranteed() const {
    std::int64_t out = 0;
    for (const std::string& id : ledger_.open_jobs()) {
      const JobRequest& r = ledger_.FindJob(id)->request;
      out += r.account == "a" ? r.steps[0].tasks * r.steps[0].need.accelerators
                              : 0;
    }
    return out;
  }

  void CheckCapacity() const {
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      RC_ASSERT(worker.used.accelerators <= kAcceleratorsPerWorker);
    }
  }

  template <typename Predicate>
  void EndRuns(const Predicate& ends, TaskOutcome outcome) {
    std::vector<TaskEnded> records;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        if (ends(task, run)) {
          records.push_back({.incarnation = incarnation,
                             .task = task,
                             .run = run.run,
                             .outcome = outcome});
        }
      }
    }
    for (const TaskEnded& r : records) {
      ledger_.Apply(now_, r);
    }
  }

  void EndJob(const std::string& id) {
    EndRuns([&](const TaskRef& task, const LiveRun&) { return task.job == id; },
            TaskOutcome::kDone);
  }

  Time now_ = 100s;
  Ledger ledger_;
  RulesView rules_;
  int jobs_ = 0;
};

// Guards against guarantees, limits and liveness that depend on what is
// believed of the speed of machines.
TEST_CASE("wrong beliefs of machine speeds cost time only",
          "[dispatcher][speed]") {
  rc::prop("guarantees are kept, no worker is overfilled, every job ends", [] {
    // 0: nothing known.
    const auto slowness = *rc::gen::container<std::vector<std::uint32_t>>(
        kWorkers, rc::gen::element(0U, 30U, 100U, 140U, 220U, 500U, 2000U));
    const auto operations =
        *rc::gen::container<std::vector<Operation>>(GenOperation());
    Cluster cluster(slowness);
    for (const Operation& o : operations) {
      if (o.kind < 45) {
        cluster.Submit(o);
      } else if (o.kind < 60) {
        cluster.EndSomeJob(o.a);
      }
      cluster.Plan();
      cluster.CheckGuarantees();
    }
    cluster.RunUntilEmpty();
  });
}

}  // namespace
}  // namespace marjoramplank
