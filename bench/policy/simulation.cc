#include "bench/policy/simulation.h"

#include <algorithm>
#include <bit>
#include <queue>

namespace marjoramplank::bench {

namespace {

constexpr Duration kStopDuration = 300ms;        // Without a checkpoint.
constexpr Duration kCheckpointDuration = 800ms;  // Including the stop.
// Time until a bad worker fails a task.
constexpr Duration kBadWorkerFailureDelay = 10s;
constexpr Duration kSampleInterval = 60s;  // For the fragmentation.
// A guaranteed job that waits longer counts as a violation.
constexpr Duration kReclaimTimeLimit = 2800ms;
constexpr std::int64_t kLargeGangAccelerators = 16;

enum class EventKind {
  kJobArrival,
  kRunEnd,
  kRunStopped,
  kDataCentreOut,
  kDataCentreBack,
  kWakeUp,
  kSample
};

struct Event {
  Time at{0};
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kWakeUp;
  std::size_t job = 0;
  // The event is ignored if the job has begun another run since.
  std::uint64_t run_number = 0;
  RunEnd end = RunEnd::kSucceeded;
  std::string worker;

  bool operator>(const Event& o) const {
    return std::tie(at, sequence) > std::tie(o.at, o.sequence);
  }
};

struct JobProgress {
  std::uint64_t run_number = 0;
  bool is_running = false;
  bool is_stopping = false;
  Time started_at{0};
  Time first_started_at{-1};
  Duration remaining_run_time{0};
  bool has_ended = false;
  Time ended_at{0};
  std::vector<TaskPlacement> current_placements;
  // Its account was entitled to the capacity when it arrived.
  bool is_guaranteed = false;
  Time claimed{-1};
};

// Accelerators requested by an account's jobs that have not ended.
struct OpenDemand {
  std::int64_t single_task_accelerators = 0;  // By jobs of one task.
  std::int64_t gang_accelerators = 0;
};

class Simulation {
 public:
  Simulation(const Workload& workload, Policy policy, std::string name)
      : workload_(workload),
        policy_(std::move(policy)),
        jobs_(workload.jobs.size()) {
    metrics_.policy = std::move(name);
    for (std::size_t i = 0; i < workload_.jobs.size(); ++i) {
      by_id_[workload_.jobs[i].id] = i;
      jobs_[i].remaining_run_time = workload_.jobs[i].true_run_time;
      Push({.at = workload_.jobs[i].arrives_at,
            .kind = EventKind::kJobArrival,
            .job = i});
    }
    for (const WorkerSpec& worker : workload_.inventory.workers) {
      data_centre_by_worker_[worker.name] = worker.data_centre;
    }
    Push({.at = workload_.absence.from, .kind = EventKind::kDataCentreOut});
    Push({.at = workload_.absence.to, .kind = EventKind::kDataCentreBack});
    Push({.at = kSampleInterval, .kind = EventKind::kSample});
  }

  PolicyMetrics Run() {
    inventory_ = workload_.inventory;
    std::visit([&](auto& p) { p.SetInventory(now_, inventory_); }, policy_);
    for (const WorkerSpec& worker : inventory_.workers) {
      MarkWorkerUp(worker.name);
    }
    while (!events_.empty() && ended_jobs_ < workload_.jobs.size()) {
      now_ = events_.top().at;
      while (!events_.empty() && events_.top().at == now_) {
        const Event e = events_.top();
        events_.pop();
        HandleEvent(e);
      }
      RunPolicy();
    }
    ComputeMetrics();
    return metrics_;
  }

 private:
  void Push(Event e) {
    e.sequence = ++last_sequence_;
    events_.push(std::move(e));
  }

  void MarkWorkerUp(const std::string& worker) {
    if (Planner* p = std::get_if<Planner>(&policy_)) {
      p->SetWorkerUp(now_, worker, true);
    } else {
      std::get<FirstFit>(policy_).SetWorkerUp(worker, true);
    }
  }

  void ReportRunEnd(std::size_t i, RunEnd end, const std::string& worker) {
    const RunResult result{.end = end, .failed_worker = worker};
    if (Planner* p = std::get_if<Planner>(&policy_)) {
      p->OnEnded(now_, workload_.jobs[i].id, result);
    } else {
      std::get<FirstFit>(policy_).OnEnded(workload_.jobs[i].id, result);
    }
  }

  void HandleEvent(const Event& e) {
    switch (e.kind) {
      case EventKind::kJobArrival: {
        const PlannedJob job{.job = workload_.jobs[e.job].id,
                             .spec = workload_.jobs[e.job].spec};
        AddOpenDemand(e.job);
        arrivals_.push_back(e.job);
        if (Planner* p = std::get_if<Planner>(&policy_)) {
          p->Submit(now_, job);
        } else {
          std::get<FirstFit>(policy_).Submit(job);
        }
        return;
      }
      case EventKind::kRunEnd:
      case EventKind::kRunStopped:
        if (jobs_[e.job].run_number == e.run_number) {
          EndRun(e);
        }
        return;
      case EventKind::kDataCentreOut:
      case EventKind::kDataCentreBack:
        for (DataCentreSpec& dc : inventory_.data_centres) {
          if (dc.name == workload_.absence.data_centre) {
            dc.out_of_service = e.kind == EventKind::kDataCentreOut;
          }
        }
        std::visit([&](auto& p) { p.SetInventory(now_, inventory_); }, policy_);
        if (e.kind == EventKind::kDataCentreOut &&
            std::holds_alternative<FirstFit>(policy_)) {
          StopJobsOutOfService();
        }
        return;
      case EventKind::kWakeUp:
        return;
      case EventKind::kSample:
        SampleFragmentation();
        if (now_ < workload_.length) {
          Push({.at = now_ + kSampleInterval, .kind = EventKind::kSample});
        }
        return;
    }
  }

  // The baselines do not move jobs out of a data centre: their jobs continue
  // during the grace period and are then stopped.
  void StopJobsOutOfService() {
    const Duration grace = inventory_.data_centres[0].grace_period;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      const bool in_absent_data_centre =
          jobs_[i].is_running &&
          std::any_of(jobs_[i].current_placements.begin(),
                      jobs_[i].current_placements.end(), [&](const auto& p) {
                        return data_centre_by_worker_.at(p.worker) ==
                               workload_.absence.data_centre;
                      });
      if (in_absent_data_centre) {
        Push({.at = now_ + grace,
              .kind = EventKind::kRunStopped,
              .job = i,
              .run_number = jobs_[i].run_number,
              .end = RunEnd::kStopped});
      }
    }
  }

  void AddOpenDemand(std::size_t i) {
    const JobSpec& spec = workload_.jobs[i].spec;
    OpenDemand& open = open_by_account_[spec.account];
    (spec.tasks == 1 ? open.single_task_accelerators
                     : open.gang_accelerators) +=
        std::int64_t{spec.tasks} * spec.shape.accelerators;
  }

  // Determines whether a job falls under its account's guarantee: the account's
  // open jobs, including this one, must need no more than its cells of the
  // matching kind. These are the cells within one worker for single tasks, or
  // the rack cells that a gang fills exactly. Capacity that the account itself
  // uses in its cells is not available a second time. Called after all arrivals
  // of the same instant, as a burst may exceed the guarantee at once.
  void DetermineGuarantee(std::size_t i) {
    const JobSpec& spec = workload_.jobs[i].spec;
    const std::int64_t width =
        std::int64_t{spec.tasks} * spec.shape.accelerators;
    const bool single_task = spec.tasks == 1;
    const OpenDemand& open = open_by_account_[spec.account];
    const bool during_absence =
        now_ >= workload_.absence.from && now_ < workload_.absence.to + 1min;
    std::int64_t guaranteed_accelerators = 0;
    std::int64_t largest = 0;
    for (const Guarantee& g :
         inventory_.FindAccount(spec.account)->guarantees) {
      if (single_task && g.workers == 1) {
        guaranteed_accelerators += std::int64_t{g.accelerators} * g.count;
        largest = std::max<std::int64_t>(largest, g.accelerators);
      } else if (!single_task && g.workers == spec.tasks &&
                 g.accelerators == spec.shape.accelerators) {
        guaranteed_accelerators += width * g.count;
        largest = spec.shape.accelerators;
      }
    }
    // Fragments of a cell may stay unused by single tasks, but half of the
    // guarantee can always be used.
    const std::int64_t always_available =
        single_task ? guaranteed_accelerators / 2 : guaranteed_accelerators;
    const std::int64_t used =
        open.single_task_accelerators + open.gang_accelerators;
    jobs_[i].is_guaranteed = !during_absence &&
                             spec.shape.accelerators <= largest &&
                             used <= always_available;
    metrics_.guaranteed_jobs += jobs_[i].is_guaranteed ? 1 : 0;
  }

  void EndRun(const Event& e) {
    JobProgress& job = jobs_[e.job];
    const SimJob& spec = workload_.jobs[e.job];
    const Duration elapsed = now_ - job.started_at;
    const double width =
        static_cast<double>(spec.spec.tasks) * spec.spec.shape.accelerators;
    AddWork(job.started_at, now_, width, job.current_placements);
    if (e.end == RunEnd::kCheckpointed) {
      job.remaining_run_time -= std::min(job.remaining_run_time, elapsed);
    } else if (e.end != RunEnd::kSucceeded) {
      lost_work_ += width * ToSeconds(elapsed);
    }
    metrics_.runs_stopped += e.kind == EventKind::kRunStopped ? 1 : 0;
    job.is_running = false;
    job.is_stopping = false;
    ++job.run_number;
    ReportRunEnd(e.job, e.end, e.worker);
  }

  void RunPolicy() {
    for (const std::size_t i : arrivals_) {
      DetermineGuarantee(i);
    }
    arrivals_.clear();
    while (true) {
      const std::vector<Decision> decisions =
          std::visit([&](auto& p) { return p.Plan(now_); }, policy_);
      if (decisions.empty()) {
        break;
      }
      for (const Decision& d : decisions) {
        std::visit([&](const auto& decision) { ApplyDecision(decision); }, d);
      }
    }
    if (const Planner* p = std::get_if<Planner>(&policy_)) {
      const Time next = p->NextWake();
      if (next != kNever && next > now_ && next != scheduled_wake_) {
        scheduled_wake_ = next;
        Push({.at = next, .kind = EventKind::kWakeUp});
      }
    }
  }

  void ApplyDecision(const StartGang& d) {
    const std::size_t i = by_id_.at(d.job);
    JobProgress& job = jobs_[i];
    job.is_running = true;
    job.started_at = now_;
    job.current_placements = d.placements;
    if (job.first_started_at < Time{0}) {
      job.first_started_at = now_;
    }
    if (Planner* p = std::get_if<Planner>(&policy_)) {
      p->OnStarted(now_, d.job);
    }
    Event end{.at = now_ + job.remaining_run_time,
              .kind = EventKind::kRunEnd,
              .job = i,
              .run_number = job.run_number};
    const bool is_bad_worker_period =
        now_ >= workload_.bad_worker.from && now_ < workload_.bad_worker.to;
    for (const TaskPlacement& p : d.placements) {
      if (is_bad_worker_period && p.worker == workload_.bad_worker.worker) {
        end.at = now_ + kBadWorkerFailureDelay;
        end.end = RunEnd::kTaskFailed;
        end.worker = p.worker;
      }
    }
    Push(std::move(end));
  }

  void ApplyDecision(const StopGang& d) {
    const std::size_t i = by_id_.at(d.job);
    JobProgress& job = jobs_[i];
    if (!job.is_running || job.is_stopping) {
      return;
    }
    job.is_stopping = true;
    const bool will_checkpoint =
        d.checkpoint && kCheckpointDuration <= d.checkpoint_timeout;
    Push({.at = now_ + (will_checkpoint ? kCheckpointDuration : kStopDuration),
          .kind = EventKind::kRunStopped,
          .job = i,
          .run_number = job.run_number,
          .end = will_checkpoint ? RunEnd::kCheckpointed : RunEnd::kStopped});
  }

  void ApplyDecision(const EndJob& d) {
    JobProgress& job = jobs_[by_id_.at(d.job)];
    job.has_ended = true;
    job.ended_at = now_;
    ++ended_jobs_;
    const JobSpec& spec = workload_.jobs[by_id_.at(d.job)].spec;
    OpenDemand& open = open_by_account_[spec.account];
    (spec.tasks == 1 ? open.single_task_accelerators
                     : open.gang_accelerators) -=
        std::int64_t{spec.tasks} * spec.shape.accelerators;
    ++(d.outcome.state == JobState::kDone ? metrics_.jobs_done
                                          : metrics_.jobs_not_done);
  }

  // Adds the parts of a run that fall into the absence, the hour after it, and
  // the arrival period.
  void AddWork(Time from,
               Time to,
               double width,
               const std::vector<TaskPlacement>& current_placements) {
    const auto overlap = [&](Time a, Time b) {
      return std::max(0.0, ToSeconds(std::min(to, b) - std::max(from, a)));
    };
    const bool in_absent_data_centre =
        std::any_of(current_placements.begin(), current_placements.end(),
                    [&](const auto& p) {
                      return data_centre_by_worker_.at(p.worker) ==
                             workload_.absence.data_centre;
                    });
    absence_work_ +=
        in_absent_data_centre
            ? 0
            : width * overlap(workload_.absence.from, workload_.absence.to);
    after_return_work_ +=
        width * overlap(workload_.absence.to, workload_.absence.to + 1h);
    used_work_ += width * overlap(Time{0}, workload_.length);
  }

  void SampleFragmentation() {
    std::map<std::string, std::uint32_t> used;
    for (const JobProgress& job : jobs_) {
      if (job.is_running) {
        for (const TaskPlacement& p : job.current_placements) {
          used[p.worker] |= p.accelerator_mask;
        }
      }
    }
    double free = 0;
    double on_idle_workers = 0;
    for (const WorkerSpec& worker : inventory_.workers) {
      const auto it = used.find(worker.name);
      const int n = it == used.end() ? 0 : std::popcount(it->second);
      free += worker.accelerators - n;
      on_idle_workers += n == 0 ? worker.accelerators : 0;
    }
    if (now_ <= workload_.length) {
      fragmentation_sum_ += free == 0 ? 0 : (free - on_idle_workers) / free;
      ++sample_count_;
    }
  }

  static double Percentile(std::vector<double>& v, double p) {
    if (v.empty()) {
      return 0;
    }
    std::sort(v.begin(), v.end());
    return v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
  }

  void ComputeMetrics() {
    std::vector<double> completion;
    std::vector<double> large_wait;
    double small = 0;
    double large = 0;
    std::size_t small_count = 0;
    std::size_t large_count = 0;
    double work = 0;
    double longest_run = 0;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      const JobProgress& job = jobs_[i];
      const SimJob& spec = workload_.jobs[i];
      const std::int64_t width =
          std::int64_t{spec.spec.tasks} * spec.spec.shape.accelerators;
      const double run = ToSeconds(spec.true_run_time);
      work += run * static_cast<double>(width);
      longest_run = std::max(longest_run, run);
      const double wait = ToSeconds(
          std::max(job.first_started_at, spec.arrives_at) - spec.arrives_at);
      metrics_.wait_max_s = std::max(metrics_.wait_max_s, wait);
      if (spec.spec.priority == Priority::kUrgent) {
        metrics_.urgent_wait_max_s = std::max(metrics_.urgent_wait_max_s, wait);
      }
      if (job.is_guaranteed) {
        metrics_.guaranteed_wait_max_s =
            std::max(metrics_.guaranteed_wait_max_s, wait);
        metrics_.guarantee_violations +=
            wait > ToSeconds(kReclaimTimeLimit) ? 1 : 0;
      }
      if (width >= kLargeGangAccelerators) {
        large_wait.push_back(wait);
      }
      if (!job.has_ended) {
        continue;
      }
      const double completion_time = ToSeconds(job.ended_at - spec.arrives_at);
      metrics_.makespan_s =
          std::max(metrics_.makespan_s, ToSeconds(job.ended_at));
      completion.push_back(completion_time);
      if (width >= kLargeGangAccelerators) {
        large += completion_time / run;
        ++large_count;
      } else if (spec.spec.tasks == 1) {
        small += completion_time / run;
        ++small_count;
      }
    }
    for (const double c : completion) {
      metrics_.completion_mean_s += c / static_cast<double>(completion.size());
    }
    metrics_.completion_p50_s = Percentile(completion, 0.50);
    metrics_.completion_p95_s = Percentile(completion, 0.95);
    metrics_.completion_p99_s = Percentile(completion, 0.99);
    metrics_.large_wait_p99_s = Percentile(large_wait, 0.99);
    metrics_.slowdown_small =
        small_count == 0 ? 0 : small / static_cast<double>(small_count);
    metrics_.slowdown_large =
        large_count == 0 ? 0 : large / static_cast<double>(large_count);
    double capacity = 0;
    double remaining_capacity = 0;
    for (const WorkerSpec& worker : workload_.inventory.workers) {
      capacity += worker.accelerators;
      remaining_capacity += worker.data_centre == workload_.absence.data_centre
                                ? 0
                                : worker.accelerators;
    }
    metrics_.fragmentation =
        sample_count_ == 0
            ? 0
            : fragmentation_sum_ / static_cast<double>(sample_count_);
    metrics_.utilisation =
        used_work_ / (capacity * ToSeconds(workload_.length));
    metrics_.absence_work_share =
        absence_work_ /
        (remaining_capacity *
         ToSeconds(workload_.absence.to - workload_.absence.from));
    metrics_.after_return_work_share = after_return_work_ / (capacity * 3600);
    metrics_.lost_work_share = lost_work_ / work;
    metrics_.lower_bound_s = std::max(work / capacity, longest_run);
  }

  const Workload& workload_;
  Policy policy_;
  std::vector<JobProgress> jobs_;
  Inventory inventory_;
  std::map<std::string, std::size_t> by_id_;
  std::map<std::string, std::string> data_centre_by_worker_;
  std::map<std::string, OpenDemand> open_by_account_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::size_t>
      arrivals_;  // Jobs that arrive at the current instant.
  std::uint64_t last_sequence_ = 0;
  std::size_t ended_jobs_ = 0;
  Time now_{0};
  Time scheduled_wake_{-1};
  double lost_work_ = 0;
  double absence_work_ = 0;
  double after_return_work_ = 0;
  double used_work_ = 0;
  double fragmentation_sum_ = 0;
  std::size_t sample_count_ = 0;
  PolicyMetrics metrics_;
};

}  // namespace

PolicyMetrics Simulate(const Workload& workload,
                       Policy policy,
                       std::string name) {
  return Simulation(workload, std::move(policy), std::move(name)).Run();
}

}  // namespace marjoramplank::bench
