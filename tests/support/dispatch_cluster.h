#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {

// A ledger with workers, and a dispatcher that plans on it, in virtual time.
class DispatchCluster {
 public:
  struct Plan {
    std::vector<RunStarted> starts;
    std::vector<RunStopped> stops;
    Dispatcher::Trace trace;
    bool all_applied = true;
  };

  explicit DispatchCluster(int workers,
                           Resources capacity = {.accelerators = 8})
      : workers_(workers) {
    rules_.loaded = true;
    rules_.rules.accounts = {
        {.name = "guaranteed", .guaranteed_accelerators = 64}};
    Apply(PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < workers; ++n) {
      Apply(WorkerReported{.agent = Agent(n),
                           .incarnation = Incarnation(n),
                           .service = "s",
                           .data_centre = "d",
                           .rack = "r",
                           .capacity = capacity});
    }
    KeepAlive();
  }

  static std::string Agent(int n) { return "a" + std::to_string(n); }
  static WorkerIncarnation Incarnation(int n) {
    return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
  }
  static JobRequest Job(const std::string& id,
                        std::int32_t priority,
                        JobStep step) {
    return {.id = id,
            .account = "a",
            .payload = "p",
            .steps = {std::move(step)},
            .terms = {.queue = "q" + std::to_string(priority),
                      .service = "s",
                      .priority = priority,
                      .max_attempts = 3,
                      .stretch = priority == 0 ? 1.5 : 3.0,
                      .target = priority == 0 ? 300ms : 1000ms}};
  }
  static JobRequest Guaranteed(const std::string& id, JobStep step) {
    JobRequest out = Job(id, 0, std::move(step));
    out.account = "guaranteed";
    return out;
  }

  bool Apply(const LedgerRecord& record) { return ledger_.Apply(now_, record); }
  void Submit(const JobRequest& job) { Apply(JobSubmitted{.request = job}); }
  // Starts the unit's members on these workers, beside the dispatcher.
  bool Start(const TaskRef& first, const std::vector<int>& on) {
    RunStarted start{.epoch = ledger_.planner_epoch(),
                     .first = first,
                     .run = Unit(first).run + 1,
                     .checkpoint = Unit(first).checkpoint};
    for (const int n : on) {
      start.members.push_back({.index = first.index + static_cast<std::int32_t>(
                                                          start.members.size()),
                               .incarnation = Incarnation(n)});
    }
    return Apply(start);
  }
  // Adds a job of one task that starts on the worker now.
  bool SubmitAndStart(const JobRequest& job, int worker) {
    Submit(job);
    return Start({.job = job.id}, {worker});
  }
  void Advance(Duration by) {
    now_ += by;
    KeepAlive();
  }
  // Every worker but the lost ones is heard.
  void KeepAlive() {
    for (int n = 0; n < workers_; ++n) {
      if (!lost_.contains(n)) {
        Apply(AgentHeartbeat{.agent = Agent(n),
                             .process = "p",
                             .heard_worker = Incarnation(n),
                             .heard_ago = 0ms});
      }
    }
  }
  // The worker crashes, and none follows it.
  void Lose(int n) {
    lost_.insert(n);
    Apply(WorkerEmptied{.incarnation = Incarnation(n),
                        .incarnation_ended = true,
                        .crashed = true});
  }

  // Teaches the model the slowness of each machine: `samples` jobs of the queue
  // have run on all of them.
  void Teach(const std::vector<double>& slowness,
             Duration usual,
             int samples,
             const std::string& queue) {
    for (int k = 0; k < samples; ++k) {
      JobRequest job = Job("taught-" + queue + "-" + std::to_string(k), 2,
                           {.tasks = workers_, .estimate = usual});
      job.terms.queue = queue;
      Submit(job);
      for (int n = 0; n < workers_; ++n) {
        const TaskRef task{.job = job.id, .index = n};
        Start(task, {n});
        Apply(TaskEnded{
            .incarnation = Incarnation(n),
            .task = task,
            .run = 1,
            .outcome = TaskOutcome::kDone,
            .run_time = Scale(usual, slowness[static_cast<std::size_t>(n)])});
      }
    }
  }

  // The decisions, which are applied.
  Plan MakePlan(const Dispatcher::Options& options = {}) {
    Plan out;
    for (const LedgerRecord& r : Dispatcher(options).Plan({.now = now_,
                                 .epoch = ledger_.planner_epoch(),
                                 .ledger = ledger_,
                                 .rules = rules_,
                                 .trace = &out.trace})) {
      out.all_applied &= Apply(r);
      if (const auto* start = std::get_if<RunStarted>(&r)) {
        out.starts.push_back(*start);
      } else if (const auto* stop = std::get_if<RunStopped>(&r)) {
        out.stops.push_back(*stop);
      }
    }
    return out;
  }
  // Every run that must stop has stopped; those that save checkpoints have
  // saved this one.
  void EndStoppedRuns(const std::string& checkpoint = "c") {
    EndRuns([](const LiveRun& run) { return run.must_stop; },
            TaskOutcome::kStopped, checkpoint);
  }
  template <typename Predicate>
  void EndRuns(const Predicate& predicate,
               TaskOutcome outcome,
               const std::string& checkpoint = "") {
    std::vector<TaskEnded> ends;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        const LedgerJob* job = ledger_.FindJob(task.job);
        if (predicate(run)) {
          const bool saves =
              job != nullptr && !job->ended() &&
              job->request.steps[static_cast<std::size_t>(task.step)]
                  .checkpoints;
          ends.push_back({.incarnation = incarnation,
                          .task = task,
                          .run = run.run,
                          .outcome = outcome,
                          .checkpoint = saves ? checkpoint : ""});
        }
      }
    }
    for (const TaskEnded& end : ends) {
      Apply(end);
    }
  }
  // Another planner takes over, from a snapshot.
  bool ReplacePlanner() {
    std::optional<LedgerSnapshot::Restored> restored =
        LedgerSnapshot::Load(now_, LedgerSnapshot::Save(ledger_, 1));
    if (!restored) {
      return false;
    }
    ledger_ = std::move(restored->ledger);
    KeepAlive();
    return Apply(
        PlannerElected{.entry = "f", .epoch = ledger_.planner_epoch() + 1});
  }

  const RunUnit& Unit(const TaskRef& first) const {
    return ledger_.FindJob(first.job)
        ->occurrences[static_cast<std::size_t>(first.occurrence)]
                     [static_cast<std::size_t>(first.step)]
        .units[static_cast<std::size_t>(first.index)];
  }
  Ledger& ledger() { return ledger_; }
  const Ledger& ledger() const { return ledger_; }
  RulesView& rules() { return rules_; }
  Time now() const { return now_; }

 private:
  const int workers_;
  Time now_ = 100s;
  Ledger ledger_;
  RulesView rules_;
  std::set<int> lost_;
};

}  // namespace marjoramplank
