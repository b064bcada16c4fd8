#include "src/planner/scheduling_pass.h"

#include <algorithm>
#include <bit>
#include <queue>

#include "src/planner/drain.h"
#include "src/planner/occupancy.h"
#include "src/planner/start_rules.h"

namespace marjoramplank {

namespace {

// Lower bound of run time estimates, so that very short jobs rank alike.
constexpr Duration kMinEstimate = 60s;
constexpr double kMinFairness = 0.25;
constexpr double kMaxFairness = 4.0;
constexpr Duration kRampUpdateInterval = 500ms;
// Delay before the pass after one that ran out of search budget.
constexpr Duration kTruncatedPassDelay = 100ms;

JobClass JobClassOf(const PlannerState& s, const JobRecord& job) {
  const Duration expected =
      s.account(job.account).estimator.Expected(job.spec.expected_run_time);
  const auto seconds = static_cast<std::uint64_t>(
      std::max<std::int64_t>(expected.count() / 1000, 1));
  return {
      .priority = job.spec.priority,
      .tasks = job.spec.tasks,
      .shape = job.spec.shape,
      .adjacency = job.spec.adjacency,
      .may_borrow = job.MayBorrow(),
      .run_time_octave = static_cast<std::int32_t>(std::bit_width(seconds))};
}

// True when the job of a queue entry is no longer waiting in this class.
bool IsStale(const PlannerState& s,
             JobIndex i,
             const JobClass& c,
             std::int32_t account) {
  const JobRecord& job = s.job(i);
  return !job.in_use || job.phase != JobPhase::kWaiting ||
         job.account != account || job.queued_class != c;
}

struct QueueHead {
  double rank = 0;
  bool urgent = false;
  JobIndex job = kNone;
  ClassQueue* queue = nullptr;
  const JobClass* job_class = nullptr;
  std::int32_t account = kNone;

  bool operator<(const QueueHead& other) const {
    return std::tuple{urgent, rank, other.job} <
           std::tuple{other.urgent, other.rank, job};
  }
};

// Drops stale entries at the front. Returns false if the class has no waiting
// job left.
bool DropStaleEntries(const PlannerState& s,
                      ClassQueue& queue,
                      const JobClass& c,
                      std::int32_t account) {
  while (!queue.jobs.empty() && IsStale(s, queue.jobs.front(), c, account)) {
    queue.jobs.pop_front();
  }
  return !queue.jobs.empty();
}

QueueHead MakeQueueHead(const PlannerState& s,
                        Time now,
                        ClassQueue& queue,
                        const JobClass& c,
                        std::int32_t account) {
  const JobIndex i = queue.jobs.front();
  return {.rank = ComputeRank(s, now, s.job(i)),
          .urgent = c.priority == Priority::kUrgent,
          .job = i,
          .queue = &queue,
          .job_class = &c,
          .account = account};
}

std::priority_queue<QueueHead> CollectHeads(PlannerState& s, Time now) {
  std::priority_queue<QueueHead> heads;
  for (std::size_t n = 0; n < s.accounts.size(); ++n) {
    const auto a = static_cast<std::int32_t>(n);
    auto& classes = s.account(a).queue.classes;
    for (auto it = classes.begin(); it != classes.end();) {
      if (!DropStaleEntries(s, it->second, it->first, a)) {
        it = classes.erase(it);
        continue;
      }
      heads.push(MakeQueueHead(s, now, it->second, it->first, a));
      ++it;
    }
  }
  return heads;
}

void ActivateClaims(PlannerState& s, Time now) {
  std::vector<JobIndex> still_claiming;
  for (const JobIndex i : s.claiming_jobs) {
    if (s.job(i).phase != JobPhase::kClaiming) {
      continue;
    }
    const std::vector<PlacedTask>& tasks = s.job(i).tasks;
    const auto is_unavailable = [&](const PlacedTask& t) {
      return !s.table.IsReservable(t.worker);
    };
    if (std::any_of(tasks.begin(), tasks.end(), is_unavailable)) {
      // A worker became unavailable while the victims were stopping: the job is
      // placed anew.
      ReleaseTasks(s, i);
      Enqueue(s, i, true);
      continue;
    }
    if (!TryActivateClaim(s, i)) {
      still_claiming.push_back(i);
      continue;
    }
    EmitStart(s, now, i);
  }
  s.claiming_jobs = std::move(still_claiming);
}

void UpdateReturnRamps(PlannerState& s, Time now) {
  for (std::size_t n = 0; n < s.table.data_centres().size(); ++n) {
    DataCentreState& dc = s.table.data_centre(static_cast<std::int32_t>(n));
    if (!dc.is_ramping_up) {
      continue;
    }
    if (now - dc.ramp_started_at >= s.options.return_ramp_duration) {
      dc.is_ramping_up = false;
      MarkCapacityChanged(s);
      continue;
    }
    double slots = 0;
    for (const WorkerIndex i : dc.workers) {
      slots += s.table.worker(i).spec.slots;
    }
    dc.ramp_tokens += slots * ToSeconds(now - dc.ramp_updated_at) /
                      ToSeconds(s.options.return_ramp_duration);
    dc.ramp_updated_at = now;
    s.timers.emplace(now + kRampUpdateInterval,
                     Timer{.kind = TimerKind::kRunPass, .name = dc.spec.name});
    MarkCapacityChanged(s);
  }
}

void EndQuarantine(PlannerState& s, const std::string& name) {
  const WorkerIndex i = s.table.FindWorker(name);
  if (i == kNone || !s.table.worker(i).quarantined) {
    return;
  }
  s.table.UpdateWorker(i, [](WorkerState& w) {
    w.quarantined = false;
    w.on_probation = true;
  });
  --s.table.data_centre(s.table.worker(i).data_centre).quarantined_workers;
  s.cells_need_location = true;
  MarkCapacityChanged(s);
}

void ExpireQueueDeadline(PlannerState& s, const std::string& id) {
  const JobIndex i = s.FindJob(id);
  if (i == kNone || (s.job(i).phase != JobPhase::kWaiting &&
                     s.job(i).phase != JobPhase::kBackoff)) {
    return;
  }
  const bool never_ran = s.job(i).attempts == 0;
  const std::string reason =
      never_ran
          ? "not started within its queue deadline"
          : "interrupted, and not started again within its queue deadline";
  FinishJob(s, i,
            {.state = never_ran ? JobState::kNotRun : JobState::kFailed,
             .step = "planner.queue",
             .reason = reason});
}

}  // namespace

double ComputeRank(const PlannerState& s, Time now, const JobRecord& job) {
  const AccountState& account = s.account(job.account);
  const Duration expected =
      std::max(account.estimator.Remaining(job.spec.expected_run_time,
                                           job.saved_run_time),
               kMinEstimate);
  const Duration waited = now - job.submitted_at - job.saved_run_time;
  const double response_ratio = 1.0 + static_cast<double>(waited.count()) /
                                          static_cast<double>(expected.count());
  const double accounts =
      std::max<double>(static_cast<double>(s.accounts.size()), 1);
  const double fair_share =
      static_cast<double>(account.guaranteed_accelerators) +
      static_cast<double>(s.unguaranteed_accelerators) / accounts;
  const double fairness = std::clamp(
      (fair_share + 1) / (static_cast<double>(account.UsedAccelerators()) + 1),
      kMinFairness, kMaxFairness);
  return response_ratio * fairness;
}

void Enqueue(PlannerState& s, JobIndex i, bool at_front) {
  JobRecord& job = s.job(i);
  job.phase = JobPhase::kWaiting;
  job.queued_class = JobClassOf(s, job);
  AccountState& account = s.account(job.account);
  ClassQueue& queue = account.queue.classes[job.queued_class];
  if (at_front) {
    queue.jobs.push_front(i);
    queue.blocked_at_epoch = 0;
  } else {
    queue.jobs.push_back(i);
  }
  ++account.queue.size;
  s.pass_needed = true;
}

void Dequeue(PlannerState& s, JobIndex i) {
  --s.account(s.job(i).account).queue.size;
}

void RemoveJob(PlannerState& s, JobIndex i) {
  JobRecord& job = s.job(i);
  if (job.phase == JobPhase::kWaiting) {
    Dequeue(s, i);
  }
  EndDrain(s, i);
  ReleaseTasks(s, i);
  s.job_by_id.erase(job.id);
  job = JobRecord{};
  s.free_job_indices.push_back(i);
}

void FinishJob(PlannerState& s, JobIndex i, JobOutcome outcome) {
  s.decisions.emplace_back(
      EndJob{.job = s.job(i).id, .outcome = std::move(outcome)});
  RemoveJob(s, i);
}

void FireTimers(PlannerState& s, Time now) {
  while (!s.timers.empty() && s.timers.begin()->first <= now) {
    const Timer timer = s.timers.begin()->second;
    s.timers.erase(s.timers.begin());
    switch (timer.kind) {
      case TimerKind::kRetry: {
        const JobIndex i = s.FindJob(timer.name);
        if (i != kNone && s.job(i).phase == JobPhase::kBackoff) {
          Enqueue(s, i, true);
        }
        break;
      }
      case TimerKind::kQueueDeadline:
        ExpireQueueDeadline(s, timer.name);
        break;
      case TimerKind::kQuarantineExpired:
        EndQuarantine(s, timer.name);
        break;
      case TimerKind::kBorrowingAllowed: {
        const JobIndex i = s.FindJob(timer.name);
        if (i == kNone) {
          break;
        }
        s.job(i).borrowing_suspended = false;
        if (s.job(i).phase == JobPhase::kWaiting) {
          Dequeue(s, i);
          Enqueue(s, i, true);  // Its job class has changed.
        }
        break;
      }
      case TimerKind::kGraceExpired:
      case TimerKind::kRunPass:
        s.pass_needed = true;
        break;
    }
  }
}

void EvacuateJobs(PlannerState& s, Time now) {
  const std::set<JobIndex> evacuating_jobs = s.evacuating_jobs;
  for (const JobIndex i : evacuating_jobs) {
    JobRecord& job = s.job(i);
    if (job.phase != JobPhase::kRunning) {
      continue;
    }
    Time grace_over = kNever;
    for (const PlacedTask& task : job.tasks) {
      const DataCentreState& dc =
          s.table.data_centres()[static_cast<std::size_t>(
              s.table.worker(task.worker).data_centre)];
      if (dc.spec.out_of_service) {
        grace_over = std::min(grace_over,
                              dc.out_of_service_since + dc.spec.grace_period);
      }
    }
    const Time latest_stop =
        job.spec.checkpointable ? grace_over - s.options.move_checkpoint_timeout
                                : grace_over;
    if (now >= latest_stop) {
      StopJob(s, i, StopReason::kDataCentreOut,
              s.options.move_checkpoint_timeout);
      continue;
    }
    s.timers.emplace(latest_stop,
                     Timer{.kind = TimerKind::kGraceExpired, .name = job.id});
    if (!job.spec.checkpointable) {
      continue;
    }
    // Moving before the grace period ends only costs a checkpoint, provided
    // that the job fits elsewhere now.
    const SearchRequest request{.spec = &job.spec,
                                .scope = CapacityScope::kAnyFree};
    if (!FindPlacement(s.table, request, s.counters).empty()) {
      StopJob(s, i, StopReason::kDataCentreOut,
              s.options.move_checkpoint_timeout);
      ++s.counters.moves;
      // One move per pass: the next search must take the capacity of this job
      // into account.
      return;
    }
  }
}

void RunSchedulingPass(PlannerState& s, Time now) {
  ++s.counters.passes;
  s.pass_time = now;
  s.search_budget = s.options.search_budget;
  s.search_budget_exhausted = false;
  UpdateReturnRamps(s, now);
  if (s.cells_need_location) {
    LocateCells(s);
    MarkCapacityChanged(s);
  }
  ActivateClaims(s, now);
  ReviewDrains(s, now);
  EvacuateJobs(s, now);
  s.pass_needed = false;
  std::priority_queue<QueueHead> heads = CollectHeads(s, now);
  std::vector<JobIndex> blocked;
  while (!heads.empty()) {
    const QueueHead head = heads.top();
    heads.pop();
    ++s.counters.queue_heads_examined;
    const bool unchanged = head.queue->blocked_at_epoch == s.capacity_epoch;
    if (unchanged || !TryStart(s, now, head.job)) {
      head.queue->blocked_at_epoch =
          s.search_budget_exhausted ? 0 : s.capacity_epoch;
      blocked.push_back(head.job);
      continue;
    }
    Dequeue(s, head.job);
    head.queue->jobs.pop_front();
    if (DropStaleEntries(s, *head.queue, *head.job_class, head.account)) {
      heads.push(
          MakeQueueHead(s, now, *head.queue, *head.job_class, head.account));
    }
  }
  BeginDrains(s, now, blocked);
  if (s.search_budget_exhausted) {
    s.timers.emplace(now + kTruncatedPassDelay,
                     Timer{.kind = TimerKind::kRunPass, .name = {}});
  }
}

}  // namespace marjoramplank
