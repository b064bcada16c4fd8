#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr int kWorkers = 3;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
constexpr Duration kStep = 100ms;
// Plans until a job within its guarantee runs: one that stops, one that starts.
constexpr int kMaxPlans = 2;

WorkerIncarnation Incarnation(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
}

// One operation of a random history. The operands are reduced modulo the number
// of choices available at that point.
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

// A ledger whose workers carry out every decision at once.
class Cluster {
 public:
  Cluster() {
    rules_.loaded = true;
    rules_.rules.accounts = {{.name = "a", .guaranteed_accelerators = 8},
                             {.name = "b", .guaranteed_accelerators = 6},
                             {.name = "c"}};
    ledger_.Apply(now_, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(
          now_,
          WorkerReported{.agent = "a" + std::to_string(n),
                         .incarnation = Incarnation(n),
                         .service = "s",
                         .data_centre = "d",
                         .rack = "r" + std::to_string(n % 2),
                         .capacity = {.accelerators = kAcceleratorsPerWorker}});
    }
  }

  void Submit(const std::string& account, std::int32_t priority, JobStep step) {
    last_job_ = "j" + std::to_string(jobs_++);
    ledger_.Apply(now_, JobSubmitted{.request = {.id = last_job_,
                                                 .account = account,
                                                 .payload = "p",
                                                 .steps = {std::move(step)},
                                                 .terms = {.queue = "q",
                                                           .service = "s",
                                                           .priority = priority,
                                                           .max_attempts = 2,
                                                           .stretch = 2}}});
  }

  void Plan() {
    now_ += kStep;
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(now_, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                         .heard_worker = Incarnation(n),
                                         .heard_ago = 0ms});
    }
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now_, .epoch = 1, .ledger = ledger_, .rules = rules_})) {
      RC_ASSERT(ledger_.Apply(now_, r));
      CheckCapacity();
    }
    EndStoppedRuns();
  }

  // Ends the nth run of all; the members of a gang end together.
  void EndRun(std::uint32_t n, TaskOutcome outcome) {
    std::vector<TaskEnded> runs;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        runs.push_back({.incarnation = incarnation,
                        .task = task,
                        .run = run.run,
                        .outcome = outcome});
      }
    }
    if (runs.empty()) {
      return;
    }
    const TaskRef ended = runs[n % runs.size()].task;
    const bool is_gang = ledger_.FindJob(ended.job)->request.steps[0].gang;
    for (const TaskEnded& end : runs) {
      if (end.task == ended || (is_gang && end.task.job == ended.job)) {
        ledger_.Apply(now_, end);
      }
    }
    EndStoppedRuns();
  }

  void Cancel(std::uint32_t n) {
    const std::set<std::string>& open = ledger_.open_jobs();
    if (!open.empty()) {
      ledger_.Apply(
          now_, JobCancelled{
                    .job = *std::next(open.begin(), static_cast<std::ptrdiff_t>(
                                                        n % open.size()))});
      EndStoppedRuns();
    }
  }

  // What the account may still claim. Negative: its jobs are beyond it.
  std::int64_t Unclaimed(const std::string& account) const {
    return rules_.rules.FindAccount(account)->guaranteed_accelerators -
           Wanted(account);
  }

  // Tasks with this many accelerators that fit once every run is gone that a
  // guarantee may displace.
  std::int64_t TasksThatFit(std::int64_t accelerators) const {
    std::int64_t out = 0;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      std::int64_t room = kAcceleratorsPerWorker;
      for (const auto& [task, run] : worker.runs) {
        room -= MayBeDisplaced(task) ? 0 : run.need.accelerators;
      }
      out += room / accelerators;
    }
    return out;
  }

  // A job within its guarantee that does not fit comes before a later one.
  bool HasWaitingGuarantee() const {
    return std::any_of(ledger_.open_jobs().begin(), ledger_.open_jobs().end(),
                       [&](const std::string& id) {
                         return IsGuaranteed(ledger_.FindJob(id)->request) &&
                                !Runs(id);
                       });
  }
  bool LastJobRuns() const { return Runs(last_job_); }

 private:
  bool Runs(const std::string& id) const {
    const LedgerJob& job = *ledger_.FindJob(id);
    const RunLengthVector<RunUnit>& units = job.occurrences[0][0].units;
    return std::all_of(units.begin(), units.end(), [](const auto& range) {
      return range.value.phase != RunUnit::Phase::kWaiting;
    });
  }

  std::int64_t Wanted(const std::string& account) const {
    std::int64_t out = 0;
    for (const std::string& id : ledger_.open_jobs()) {
      const JobRequest& request = ledger_.FindJob(id)->request;
      if (request.account == account && request.terms.priority == 0) {
        out += request.steps[0].tasks * request.steps[0].need.accelerators;
      }
    }
    return out;
  }

  bool IsGuaranteed(const JobRequest& request) const {
    return request.terms.priority == 0 && Unclaimed(request.account) >= 0;
  }

  bool MayBeDisplaced(const TaskRef& task) const {
    const JobRequest& request = ledger_.FindJob(task.job)->request;
    return !IsGuaranteed(request) && !request.steps[0].max_unavailable;
  }

  void EndStoppedRuns() {
    std::vector<TaskEnded> ends;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        if (run.must_stop) {
          ends.push_back({.incarnation = incarnation,
                          .task = task,
                          .run = run.run,
                          .outcome = TaskOutcome::kStopped});
        }
      }
    }
    for (const TaskEnded& end : ends) {
      ledger_.Apply(now_, end);
    }
  }

  void CheckCapacity() const {
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      RC_ASSERT(worker.used.FitsIn(worker.report.capacity));
    }
  }

  Time now_ = 100s;
  Ledger ledger_;
  RulesView rules_;
  int jobs_ = 0;
  std::string last_job_;
};

JobStep RandomStep(const Operation& operation) {
  constexpr std::int64_t kSizes[] = {1, 2, 3, 4, 8};
  JobStep out{.tasks = 1 + static_cast<std::int32_t>(operation.a % 4),
              .need = {.accelerators = kSizes[operation.b % 5]},
              .gang = operation.a / 4 % 4 == 0,
              .checkpoints = operation.a / 16 % 2 == 0,
              .long_running = operation.b / 5 % 2 == 0};
  if (out.long_running && operation.b / 10 % 4 == 0) {
    out.max_unavailable = 1;
  }
  return out;
}

void ApplyOperation(Cluster& cluster, const Operation& operation) {
  if (operation.kind < 60) {
    cluster.Submit(std::string(1, static_cast<char>('a' + operation.a / 7 % 3)),
                   static_cast<std::int32_t>(operation.b / 40 % 3),
                   RandomStep(operation));
  } else if (operation.kind < 85) {
    cluster.EndRun(operation.a, TaskOutcome::kDone);
  } else {
    cluster.Cancel(operation.a);
  }
}

// Guards against accelerators of a guarantee that are lent to tasks which are
// not stopped when the guarantee is claimed.
TEST_CASE("what is lent can be taken back", "[property][reclaim]") {
  rc::prop("each guarantee can be claimed at every step", [] {
    Cluster cluster;
    const auto history =
        *rc::gen::container<std::vector<Operation>>(GenOperation());
    for (const Operation& operation : history) {
      ApplyOperation(cluster, operation);
      for (int n = 0; n < kMaxPlans; ++n) {
        cluster.Plan();
      }
      if (cluster.HasWaitingGuarantee()) {
        continue;
      }
      for (const std::string account : {"a", "b"}) {
        for (std::int64_t size = 1; size <= cluster.Unclaimed(account);
             ++size) {
          const std::int64_t tasks = std::min(
              cluster.TasksThatFit(size), cluster.Unclaimed(account) / size);
          if (tasks == 0) {
            continue;
          }
          Cluster claimed = cluster;
          claimed.Submit(account, 0,
                         {.tasks = static_cast<std::int32_t>(tasks),
                          .need = {.accelerators = size}});
          for (int n = 0; n < kMaxPlans; ++n) {
            claimed.Plan();
          }
          RC_LOG() << account << " claims " << tasks << " x " << size << "\n";
          RC_ASSERT(claimed.LastJobRuns());
        }
      }
    }
  });
}

}  // namespace
}  // namespace marjoramplank
