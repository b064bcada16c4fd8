#include "marjoramplank/planner.h"

#include <algorithm>
#include <utility>

#include "src/planner/drain.h"
#include "src/planner/inventory_change.h"
#include "src/planner/occupancy.h"
#include "src/planner/planner_state.h"
#include "src/planner/scheduling_pass.h"
#include "src/planner/start_rules.h"

namespace marjoramplank {

namespace {

// Weight of the latest run in the moving average of an account's failure
// rate.
constexpr double kFailureRateWeight = 0.1;
// Limit of attempts of a job, however they ended.
constexpr std::int32_t kMaxTotalAttempts = 32;

// Spreads a delay to 50% to 150%. Deterministic: derived from the job id and
// the attempt.
Duration AddJitter(Duration d, const JobRecord& job) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : job.id) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  hash = (hash ^ static_cast<std::uint64_t>(job.attempts)) * 1099511628211ULL;
  constexpr std::uint64_t kSteps = 1000;
  return d / 2 + d * static_cast<std::int64_t>((hash >> 20) % kSteps) /
                     static_cast<std::int64_t>(kSteps);
}

void ScheduleRetry(PlannerState& s,
                   Time now,
                   JobIndex i,
                   Duration base,
                   std::int32_t doublings) {
  constexpr std::int32_t kMaxDoublings = 10;
  JobRecord& job = s.job(i);
  const Duration backoff =
      base * (std::int64_t{1} << std::min(doublings, kMaxDoublings));
  const Duration delay =
      AddJitter(std::min(backoff, s.options.retry_backoff_max), job);
  job.phase = JobPhase::kBackoff;
  s.timers.emplace(now + delay,
                   Timer{.kind = TimerKind::kRetry, .name = job.id});
}

JobIndex AddJob(PlannerState& s, Time now, const PlannedJob& planned) {
  JobIndex i = static_cast<JobIndex>(s.jobs.size());
  if (s.free_job_indices.empty()) {
    s.jobs.emplace_back();
  } else {
    i = s.free_job_indices.back();
    s.free_job_indices.pop_back();
  }
  auto it = s.account_by_name.find(planned.spec.account);
  if (it == s.account_by_name.end()) {
    // The account was removed after the job was accepted, but the job must
    // still run.
    it = s.account_by_name
             .emplace(planned.spec.account,
                      static_cast<std::int32_t>(s.accounts.size()))
             .first;
    s.accounts.push_back(
        {.spec = {.name = planned.spec.account}, .in_inventory = false});
  }
  JobRecord& job = s.job(i);
  job.id = planned.job;
  job.spec = planned.spec;
  job.account = it->second;
  job.submitted_at = now;
  job.attempts = planned.attempts;
  job.in_use = true;
  s.job_by_id.emplace(planned.job, i);
  return i;
}

void RecordFailure(PlannerState& s,
                   Time now,
                   const JobRecord& job,
                   const std::string& worker) {
  const WorkerIndex i = s.table.FindWorker(worker);
  AccountState& account = s.account(job.account);
  const double rate_before = account.failure_rate;
  account.failure_rate += kFailureRateWeight * (1.0 - account.failure_rate);
  if (i == kNone) {
    return;
  }
  QuarantineEvidence& evidence =
      s.failure_evidence[static_cast<std::size_t>(i)];
  const double total_evidence = evidence.RecordFailure(job.id, rate_before);
  const WorkerState& w = s.table.worker(i);
  DataCentreState& dc = s.table.data_centre(w.data_centre);
  const auto allowed = std::max(
      1, static_cast<std::int32_t>(static_cast<double>(dc.workers.size()) *
                                   s.options.quarantine_max_share));
  const double threshold =
      w.on_probation ? 0.5 : s.options.quarantine_threshold;
  if (total_evidence < threshold || w.quarantined ||
      dc.quarantined_workers >= allowed) {
    return;
  }
  const Duration duration = evidence.BeginQuarantine(s.options.quarantine_base,
                                                     s.options.quarantine_max);
  s.table.UpdateWorker(i, [](WorkerState& state) {
    state.quarantined = true;
    state.on_probation = false;
  });
  ++dc.quarantined_workers;
  ++s.counters.quarantines;
  s.cells_need_location = true;
  s.timers.emplace(now + duration, Timer{.kind = TimerKind::kQuarantineExpired,
                                         .name = worker});
  MarkCapacityChanged(s);
}

void RecordSuccess(PlannerState& s, Time now, const JobRecord& job) {
  AccountState& account = s.account(job.account);
  account.failure_rate -= kFailureRateWeight * account.failure_rate;
  if (!job.has_checkpoint) {
    account.estimator.Observe(job.spec.expected_run_time, now - job.started_at);
  }
  for (const PlacedTask& task : job.tasks) {
    if (task.worker == kNone) {
      continue;
    }
    s.failure_evidence[static_cast<std::size_t>(task.worker)].RecordSuccess();
    s.table.UpdateWorker(task.worker,
                         [](WorkerState& w) { w.on_probation = false; });
  }
}

void Requeue(PlannerState& s, JobIndex i) {
  ReleaseTasks(s, i);
  Enqueue(s, i, true);
}

void HandleTaskFailure(PlannerState& s,
                       Time now,
                       JobIndex i,
                       const RunResult& result) {
  RecordFailure(s, now, s.job(i), result.failed_worker);
  JobRecord& job = s.job(i);
  ++job.failures;
  const std::int32_t max_attempts =
      job.spec.idempotent ? s.options.max_attempts : 1;
  if (job.cancel_requested || job.failures >= max_attempts) {
    const JobState state =
        job.cancel_requested ? JobState::kCancelled : JobState::kFailed;
    FinishJob(s, i,
              {.state = state,
               .step = "gang.run",
               .peer = result.failed_worker,
               .reason = result.reason});
    return;
  }
  if (const WorkerIndex w = s.table.FindWorker(result.failed_worker);
      w != kNone) {
    job.avoided_workers.push_back(w);
  }
  ReleaseTasks(s, i);
  ScheduleRetry(s, now, i, s.options.retry_backoff, s.job(i).failures - 1);
}

void HandleInterruption(PlannerState& s, JobIndex i, const RunResult& result) {
  const JobRecord& job = s.job(i);
  if (job.cancel_requested) {
    FinishJob(s, i,
              {.state = JobState::kCancelled,
               .step = "gang.stop",
               .reason = "cancelled while it ran"});
    return;
  }
  if (!job.spec.idempotent) {
    FinishJob(s, i,
              {.state = JobState::kMayHaveRun,
               .step = "gang.run",
               .peer = result.failed_worker,
               .reason = result.reason});
    return;
  }
  if (job.attempts >= kMaxTotalAttempts) {
    FinishJob(s, i,
              {.state = JobState::kFailed,
               .step = "gang.run",
               .peer = result.failed_worker,
               .reason = "interrupted too often: " + result.reason});
    return;
  }
  Requeue(s, i);
}

}  // namespace

const char* ToString(StopReason reason) {
  switch (reason) {
    case StopReason::kReclaimed:
      return "reclaimed";
    case StopReason::kUrgent:
      return "urgent";
    case StopReason::kDataCentreOut:
      return "data_centre_out";
    case StopReason::kMoved:
      return "moved";
    case StopReason::kCancelled:
      return "cancelled";
    case StopReason::kWorkerLost:
      break;
  }
  return "worker_lost";
}

Planner::Planner(PlannerOptions options)
    : state_(std::make_unique<PlannerState>()) {
  state_->options = std::move(options);
}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::SetInventory(Time now, const Inventory& inventory) {
  ApplyInventory(*state_, now, inventory);
}

void Planner::SetWorkerUp(Time /*now*/, const std::string& worker, bool up) {
  PlannerState& s = *state_;
  const WorkerIndex i = s.table.FindWorker(worker);
  if (i == kNone || s.table.worker(i).up == up) {
    return;
  }
  s.table.UpdateWorker(i, [&](WorkerState& w) { w.up = up; });
  s.cells_need_location = true;
  MarkCapacityChanged(s);
}

void Planner::Submit(Time now, const PlannedJob& job) {
  PlannerState& s = *state_;
  if (s.job_by_id.contains(job.job)) {
    return;
  }
  const JobIndex i = AddJob(s, now, job);
  if (job.spec.queue_deadline > Duration{0}) {
    s.timers.emplace(now + job.spec.queue_deadline,
                     Timer{.kind = TimerKind::kQueueDeadline, .name = job.job});
  }
  Enqueue(s, i, false);
}

void Planner::Cancel(Time /*now*/, const std::string& job) {
  PlannerState& s = *state_;
  const JobIndex i = s.FindJob(job);
  if (i == kNone) {
    return;
  }
  JobRecord& record = s.job(i);
  record.cancel_requested = true;
  switch (record.phase) {
    case JobPhase::kWaiting:
    case JobPhase::kBackoff:
    case JobPhase::kClaiming:
      FinishJob(s, i,
                {.state = JobState::kCancelled,
                 .step = "planner.queue",
                 .reason = "cancelled before it started"});
      break;
    case JobPhase::kStarting:
    case JobPhase::kRunning:
      StopJob(s, i, StopReason::kCancelled, Duration{0});
      break;
    case JobPhase::kStopping:
      break;
  }
}

void Planner::OnStarted(Time now, const std::string& job) {
  const JobIndex i = state_->FindJob(job);
  if (i != kNone && state_->job(i).phase == JobPhase::kStarting) {
    state_->job(i).phase = JobPhase::kRunning;
    state_->job(i).started_at = now;
    state_->pass_needed =
        state_->pass_needed || state_->evacuating_jobs.contains(i);
  }
}

void Planner::OnStartFailed(Time now,
                            const std::string& job,
                            const std::string& worker) {
  OnEnded(now, job,
          {.end = RunEnd::kNeverStarted,
           .failed_worker = worker,
           .reason = "a member refused the grant"});
}

void Planner::OnEnded(Time now,
                      const std::string& job,
                      const RunResult& result) {
  PlannerState& s = *state_;
  const JobIndex i = s.FindJob(job);
  if (i == kNone || s.job(i).phase == JobPhase::kWaiting ||
      s.job(i).phase == JobPhase::kBackoff) {
    return;
  }
  s.pass_needed = true;
  JobRecord& record = s.job(i);
  switch (result.end) {
    case RunEnd::kSucceeded:
      RecordSuccess(s, now, record);
      FinishJob(s, i,
                {.state = JobState::kDone,
                 .step = "gang.run",
                 .task_results = result.parts});
      break;
    case RunEnd::kTaskFailed:
      HandleTaskFailure(s, now, i, result);
      break;
    case RunEnd::kCheckpointed:
      if (record.cancel_requested) {
        HandleInterruption(s, i, result);
        break;
      }
      record.has_checkpoint = true;
      record.saved_run_time += now - record.started_at;
      Requeue(s, i);
      break;
    case RunEnd::kStopped:
    case RunEnd::kLost:
      HandleInterruption(s, i, result);
      break;
    case RunEnd::kNeverStarted:
      if (record.cancel_requested) {
        FinishJob(s, i,
                  {.state = JobState::kCancelled,
                   .step = "gang.start",
                   .reason = "cancelled before it started"});
        break;
      }
      ReleaseTasks(s, i);
      ScheduleRetry(s, now, i, s.options.retry_backoff / 4,
                    s.job(i).attempts - 1);
      break;
  }
}

void Planner::AdoptRun(Time now,
                       const PlannedJob& job,
                       const std::vector<TaskPlacement>& placements) {
  PlannerState& s = *state_;
  if (s.job_by_id.contains(job.job)) {
    return;
  }
  std::vector<PlacedTask> tasks;
  for (const TaskPlacement& p : placements) {
    const WorkerIndex w = s.table.FindWorker(p.worker);
    if (w == kNone) {
      s.decisions.emplace_back(
          StopGang{.job = job.job, .reason = StopReason::kWorkerLost});
      return;
    }
    tasks.push_back({.worker = w,
                     .mask = p.accelerator_mask,
                     .mode = TaskMode::kGuaranteed});
  }
  const JobIndex i = AddJob(s, now, job);
  s.job(i).phase = JobPhase::kRunning;
  s.job(i).started_at = now;
  s.cells_need_location = true;
  for (const PlacedTask& task : tasks) {
    LocateCellAroundTask(s, s.job(i).account, task);
  }
  ReallocateTasks(s, i, std::move(tasks));
  MarkIfEvacuating(s, i);
  s.pass_needed = true;
}

void Planner::DropJob(const std::string& job) {
  const JobIndex i = state_->FindJob(job);
  if (i != kNone) {
    RemoveJob(*state_, i);
    state_->pass_needed = true;
  }
}

std::vector<Decision> Planner::Plan(Time now) {
  PlannerState& s = *state_;
  FireTimers(s, now);
  if (s.pass_needed || s.cells_need_location) {
    RunSchedulingPass(s, now);
  }
  return std::exchange(s.decisions, {});
}

Time Planner::NextWake() const {
  if (state_->pass_needed) {
    return Time{0};
  }
  return state_->timers.empty() ? kNever : state_->timers.begin()->first;
}

bool Planner::HasJob(const std::string& job) const {
  return state_->FindJob(job) != kNone;
}

const PlannerCounters& Planner::counters() const {
  return state_->counters;
}

const PlannerState& Planner::state() const {
  return *state_;
}

}  // namespace marjoramplank
