// Starts for which other jobs are stopped or moved.

#include "src/planner/start_rules.h"

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "src/planner/cheapest_block.h"
#include "src/planner/occupancy.h"
#include "src/planner/placement_candidate.h"
#include "src/planner/victims.h"

namespace marjoramplank {

namespace {

// Free resources of a worker if every eligible victim were stopped.
FreeCapacity CapacityAfterPreemption(const PlannerState& s,
                                     Time now,
                                     JobIndex for_job,
                                     PreemptionPurpose purpose,
                                     WorkerIndex i) {
  const WorkerState& w = s.table.worker(i);
  FreeCapacity free = s.table.FreeCapacityOf(i, CapacityScope::kAnyFree);
  for (const JobIndex n : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(n);
    for (const PlacedTask& task : job.tasks) {
      if (task.worker == i && job.phase != JobPhase::kStopping &&
          MayPreempt(s, now, purpose, for_job, job, task.mode)) {
        free.mask |= task.mask;
        free.host_resources += HostResourcesOf(job.spec.shape);
      }
    }
  }
  if (!s.job(for_job).MayBorrow()) {
    // The job may not borrow, so it must keep out of the cells.
    free.mask &= ~(w.reserved.mask & ~w.reserved_by_preemptible.mask);
    const HostResources outside = w.HostCapacity() - w.reserved.host_resources +
                                  w.reserved_by_preemptible.host_resources;
    free.host_resources.cores =
        std::min(free.host_resources.cores, outside.cores);
    free.host_resources.memory_mb =
        std::min(free.host_resources.memory_mb, outside.memory_mb);
    free.host_resources.slots =
        std::min(free.host_resources.slots, outside.slots);
  }
  return free;
}

// Urgent jobs may preempt while their account stays within its fair share; one
// job outside the guarantees may always.
bool MayPreemptForUrgentJob(const PlannerState& s, const JobRecord& job) {
  const AccountState& account = s.account(job.account);
  const std::int64_t outside = account.used_shared + account.used_borrowed;
  return outside == 0 || account.UsedAccelerators() + job.TotalAccelerators() <=
                             FairShare(s, account);
}

StopReason ReasonOf(PreemptionPurpose purpose) {
  switch (purpose) {
    case PreemptionPurpose::kUrgentJob:
      return StopReason::kUrgent;
    case PreemptionPurpose::kLargeGang:
      return StopReason::kMoved;
    case PreemptionPurpose::kCellReclaim:
    case PreemptionPurpose::kEntitlement:
      break;
  }
  return StopReason::kReclaimed;
}

// Candidate for a single task, on the block that costs least to clear.
std::optional<PlacementCandidate> CheapestSingleTaskCandidate(
    const PlannerState& s,
    Time now,
    JobIndex i,
    PreemptionPurpose purpose) {
  const JobRecord& job = s.job(i);
  if (job.spec.tasks > 1 || job.spec.shape.accelerators == 0) {
    return std::nullopt;
  }
  const BlockSearchRules rules{
      .is_eligible =
          [&](WorkerIndex w) {
            const WorkerState& state = s.table.worker(w);
            return s.table.IsReservable(w) && !state.on_probation &&
                   (state.drained_for == kNone || state.drained_for == i);
          },
      .unavailable_accelerators =
          [&](WorkerIndex w) {
            const WorkerState& state = s.table.worker(w);
            return job.MayBorrow() ? AcceleratorMask{0}
                                   : state.reserved.mask &
                                         ~state.reserved_by_preemptible.mask;
          },
      .may_preempt =
          [&](const JobRecord& other, TaskMode mode) {
            return MayPreempt(s, now, purpose, i, other, mode);
          }};
  const std::optional<CheapestBlock> block =
      FindCheapestBlock(s, now, job.spec.shape.accelerators, rules);
  if (!block) {
    return std::nullopt;
  }
  PlacementCandidate candidate{
      .tasks = {{.worker = block->worker, .mask = block->mask}}};
  return EvaluateCandidate(s, now, i, purpose, candidate)
             ? std::optional(std::move(candidate))
             : std::nullopt;
}

// Starts the gang where preemption loses the least work.
bool TryPreempting(PlannerState& s,
                   Time now,
                   JobIndex i,
                   PreemptionPurpose purpose) {
  if (!ConsumeSearchBudget(s)) {
    return false;
  }
  const JobRecord& job = s.job(i);
  std::map<std::int32_t, std::vector<std::pair<std::int64_t, WorkerIndex>>>
      groups;
  for (std::size_t n = 0; n < s.table.workers().size(); ++n) {
    const auto w = static_cast<WorkerIndex>(n);
    const WorkerState& state = s.table.worker(w);
    const bool drained_for_other =
        state.drained_for != kNone && state.drained_for != i;
    if (!s.table.IsReservable(w) || state.on_probation || drained_for_other) {
      continue;
    }
    ++s.counters.workers_examined;
    std::int64_t cost = 0;
    for (const JobIndex other : state.jobs) {
      cost += PreemptionCost(s, now, other);
    }
    groups[AdjacencyGroupOf(s.table, w, job.spec.adjacency)].emplace_back(cost,
                                                                          w);
  }
  std::optional<PlacementCandidate> best =
      CheapestSingleTaskCandidate(s, now, i, purpose);
  for (auto& [group, workers] : groups) {
    if (best) {
      break;
    }
    std::sort(workers.begin(), workers.end());
    PlacementCandidate candidate;
    std::int32_t tasks_left = job.spec.tasks;
    for (const auto& [cost, w] : workers) {
      FreeCapacity free = CapacityAfterPreemption(s, now, i, purpose, w);
      tasks_left -= PlaceTasksOnWorker(free, job.spec.shape, tasks_left, w,
                                       candidate.tasks);
    }
    if (tasks_left > 0 || !EvaluateCandidate(s, now, i, purpose, candidate)) {
      continue;
    }
    if (!best || candidate.IsBetterThan(*best)) {
      best = std::move(candidate);
    }
  }
  if (!best) {
    return false;
  }
  const bool urgent = purpose == PreemptionPurpose::kUrgentJob;
  for (const JobIndex victim : best->victims) {
    s.job(victim).last_moved_at = urgent ? s.job(victim).last_moved_at : now;
  }
  CommitCandidate(s, now, i, std::move(*best), ReasonOf(purpose));
  return true;
}

}  // namespace

bool TryPreemptForUrgentJob(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  return job.spec.priority == Priority::kUrgent &&
         s.account(job.account).spec.may_borrow &&
         MayPreemptForUrgentJob(s, job) &&
         TryPreempting(s, now, i, PreemptionPurpose::kUrgentJob);
}

bool TryPreemptForEntitlement(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  const AccountState& account = s.account(job.account);
  return job.TotalAccelerators() > 0 &&
         account.UsedAccelerators() + job.TotalAccelerators() <=
             account.guaranteed_accelerators &&
         account.spec.may_borrow &&
         TryPreempting(s, now, i, PreemptionPurpose::kEntitlement);
}

bool TryPreemptForLargeGang(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  return now - job.submitted_at >= s.options.large_gang_preemption_wait &&
         job.TotalAccelerators() >= s.options.large_gang_accelerators &&
         s.account(job.account).spec.may_borrow &&
         TryPreempting(s, now, i, PreemptionPurpose::kLargeGang);
}

}  // namespace marjoramplank
