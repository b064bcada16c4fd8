#include "src/planner/start_rules.h"

#include <algorithm>
#include <utility>

#include "src/planner/drain.h"
#include "src/planner/occupancy.h"
#include "src/planner/repack.h"

namespace marjoramplank {

bool ConsumeSearchBudget(PlannerState& s) {
  if (s.search_budget <= 0) {
    s.search_budget_exhausted = true;
    return false;
  }
  s.search_budget -= static_cast<std::int64_t>(s.table.workers().size());
  return true;
}

std::int32_t AdjacencyGroupOf(const WorkerTable& table,
                              WorkerIndex worker,
                              Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return worker;
    case Adjacency::kRack:
      return table.worker(worker).rack;
    case Adjacency::kDataCentre:
      return table.worker(worker).data_centre;
    case Adjacency::kRegion:
      break;
  }
  return 0;
}

void EmitStart(PlannerState& s, Time now, JobIndex i) {
  JobRecord& job = s.job(i);
  EndDrain(s, i);
  job.phase = JobPhase::kStarting;
  job.started_at = now;
  ++job.attempts;
  ++s.counters.starts;
  StartGang start{.job = job.id, .attempt = job.attempts, .placements = {}};
  std::int32_t n = 0;
  for (const PlacedTask& task : job.tasks) {
    const WorkerState& w = s.table.worker(task.worker);
    start.placements.push_back(
        {.task = n++, .worker = w.spec.name, .accelerator_mask = task.mask});
    DataCentreState& dc = s.table.data_centre(w.data_centre);
    dc.ramp_tokens -= dc.is_ramping_up ? 1 : 0;
  }
  s.decisions.emplace_back(std::move(start));
}

namespace {

// Keeps a job that lost its run to a reclaim from borrowing for a while.
void SuspendBorrowing(PlannerState& s, JobRecord& job) {
  job.borrowing_suspended = true;
  ++job.runs_lost_to_reclaim;
  s.timers.emplace(s.pass_time + s.options.borrowing_suspension,
                   Timer{.kind = TimerKind::kBorrowingAllowed, .name = job.id});
}

}  // namespace

void StopJob(PlannerState& s,
             JobIndex i,
             StopReason reason,
             Duration checkpoint_timeout) {
  JobRecord& job = s.job(i);
  if (job.phase != JobPhase::kRunning && job.phase != JobPhase::kStarting) {
    return;
  }
  job.phase = JobPhase::kStopping;
  if (reason == StopReason::kReclaimed && !job.spec.checkpointable) {
    SuspendBorrowing(s, job);
  }
  const bool checkpoint =
      job.spec.checkpointable && reason != StopReason::kCancelled;
  s.decisions.emplace_back(StopGang{
      .job = job.id,
      .reason = reason,
      .checkpoint = checkpoint,
      .checkpoint_timeout = checkpoint ? checkpoint_timeout : Duration{0}});
}

namespace {

// Places the gang on unreserved capacity, or, if it may borrow and does not fit
// there, on any free capacity.
std::vector<PlacedTask> FindFreePlacement(
    PlannerState& s,
    const JobRecord& job,
    const std::vector<WorkerIndex>* avoided_workers) {
  SearchRequest request{.spec = &job.spec,
                        .scope = CapacityScope::kUnreservedFree,
                        .avoided_workers = avoided_workers};
  std::vector<PlacedTask> tasks = FindPlacement(s.table, request, s.counters);
  if (tasks.empty() && job.MayBorrow()) {
    request.scope = CapacityScope::kAnyFree;
    tasks = FindPlacement(s.table, request, s.counters);
  }
  return tasks;
}

}  // namespace

bool TryFreeCapacity(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  if (!s.account(job.account).spec.may_borrow) {
    return false;
  }
  SuspendDrain(s, i);
  std::vector<PlacedTask> tasks =
      FindFreePlacement(s, job, &job.avoided_workers);
  if (tasks.empty() && !job.avoided_workers.empty()) {
    // Workers that the job failed on are used if nothing else is free.
    tasks = FindFreePlacement(s, job, nullptr);
  }
  ResumeDrain(s, i);
  if (tasks.empty()) {
    return false;
  }
  AllocateTasks(s, i, std::move(tasks), false);
  EmitStart(s, now, i);
  return true;
}

bool TryBackfill(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  const AccountState& account = s.account(job.account);
  if (!account.spec.may_borrow || job.drained_workers > 0 ||
      job.spec.adjacency == Adjacency::kRack) {
    return false;
  }
  const Time end =
      now + account.estimator.Pessimistic(job.spec.expected_run_time);
  for (const Drain& drain : s.drains) {
    if (end > drain.expected_ready_at) {
      continue;
    }
    std::vector<WorkerIndex> usable;
    for (const WorkerIndex w : drain.workers) {
      const bool same =
          usable.empty() ||
          AdjacencyGroupOf(s.table, w, job.spec.adjacency) ==
              AdjacencyGroupOf(s.table, usable[0], job.spec.adjacency);
      const bool avoided =
          std::find(job.avoided_workers.begin(), job.avoided_workers.end(),
                    w) != job.avoided_workers.end();
      if (s.table.IsReservable(w) && !s.table.worker(w).on_probation &&
          (same || job.spec.adjacency == Adjacency::kWorker) && !avoided) {
        usable.push_back(w);
      }
    }
    SearchRequest request{.spec = &job.spec,
                          .scope = CapacityScope::kUnreservedFree};
    std::vector<PlacedTask> tasks = FindPlacementOn(s.table, request, usable);
    if (tasks.empty() && job.MayBorrow()) {
      request.scope = CapacityScope::kAnyFree;
      tasks = FindPlacementOn(s.table, request, usable);
    }
    if (!tasks.empty()) {
      AllocateTasks(s, i, std::move(tasks), false);
      EmitStart(s, now, i);
      return true;
    }
  }
  return false;
}

bool TryStart(PlannerState& s, Time now, JobIndex i) {
  // Checkpointable jobs use other free capacity first and leave the cells of
  // their account to jobs that cannot be moved.
  if (s.job(i).spec.checkpointable && TryFreeCapacity(s, now, i)) {
    return true;
  }
  // A cell that the job does not fill is opened only if no other capacity is
  // free, since the gangs that it is guaranteed for cannot use it then.
  return TryGuaranteedCells(s, now, i, CellUsePolicy::kNoWaste) ||
         TryFreeCapacity(s, now, i) || TryPreemptForEntitlement(s, now, i) ||
         TryGuaranteedCells(s, now, i, CellUsePolicy::kAny) ||
         TryRepackCells(s, now, i) || TryBackfill(s, now, i) ||
         TryPreemptForUrgentJob(s, now, i) || TryPreemptForLargeGang(s, now, i);
}

}  // namespace marjoramplank
