#include "src/planner/victims.h"

#include <algorithm>

namespace marjoramplank {

std::int64_t StopCost(const PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  const std::int64_t width = std::max<std::int64_t>(job.Accelerators(), 1);
  constexpr std::int64_t kCheckpointCostMs = 5'000;
  const std::int64_t elapsed =
      job.phase == JobPhase::kRunning ? (now - job.started).count() : 0;
  return width * (job.spec.checkpointable ? std::min(kCheckpointCostMs, elapsed)
                                          : elapsed);
}

std::int64_t FairShare(const PlannerState& s, const AccountState& account) {
  const auto accounts = static_cast<std::int64_t>(s.accounts.size());
  return account.promised +
         s.shared_accelerators / std::max<std::int64_t>(accounts, 1);
}

bool MayStop(const PlannerState& s,
             Time now,
             StopFor sake,
             JobIndex for_job,
             const JobRecord& job,
             TaskMode mode) {
  // A guaranteed job that is moved for a large gang claims its room anew at
  // once; its cell finds another place.
  const bool guaranteed =
      mode == TaskMode::kGuaranteed && sake != StopFor::kLargeGang;
  if (guaranteed || !job.IsStoppable()) {
    return false;
  }
  switch (sake) {
    case StopFor::kGuarantee:
      return mode == TaskMode::kBorrowed;
    case StopFor::kUrgent:
      return job.spec.priority != Priority::kUrgent;
    case StopFor::kEntitled: {
      const AccountState& owner = s.account(job.account);
      return job.spec.priority != Priority::kUrgent &&
             job.account != s.job(for_job).account &&
             owner.Used() > FairShare(s, owner);
    }
    case StopFor::kLargeGang:
      break;
  }
  const Time rested_since = std::max(job.started, job.last_move);
  const bool saves = job.spec.checkpointable &&
                     now - rested_since >= s.options.compaction_interval;
  const bool young = mode != TaskMode::kGuaranteed &&
                     !job.spec.checkpointable && job.reclaim_losses == 0 &&
                     now - job.started <= s.options.young_run;
  return job.phase == JobPhase::kRunning && (saves || young) &&
         job.spec.priority != Priority::kUrgent &&
         job.Accelerators() * 2 <= s.job(for_job).Accelerators();
}

bool CollectVictims(const PlannerState& s,
                    Time now,
                    WorkerIndex worker,
                    AcceleratorMask mask,
                    const Amount& need,
                    StopFor sake,
                    JobIndex for_job,
                    std::set<JobIndex>& victims) {
  const WorkerState& w = s.table.worker(worker);
  if ((w.claims.mask & mask) != 0) {
    return false;  // Another claim is being served; it is reclaimed once it
                   // runs.
  }
  AcceleratorMask blocked = w.actual.mask & mask;
  Amount free = w.Capacity() - w.actual.amount - w.claims.amount;
  std::vector<std::pair<std::int64_t, JobIndex>> candidates;
  for (const JobIndex i : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(i);
    Ledger held;
    bool overlaps = false;
    bool may_stop_overlap = true;  // Every task in the way may be stopped.
    bool may_stop_any =
        false;  // Some task here may be stopped, and its gang with it.
    for (const PlacedTask& task : job.tasks) {
      if (task.worker != worker) {
        continue;
      }
      held.Add(task.mask, AmountOf(job.spec.shape));
      const bool may_stop = MayStop(s, now, sake, for_job, job, task.mode);
      may_stop_any = may_stop_any || may_stop;
      if ((task.mask & mask) != 0) {
        overlaps = true;
        may_stop_overlap = may_stop_overlap && may_stop;
      }
    }
    const bool stopping = job.phase == JobPhase::kStopping;
    const bool stoppable = stopping || may_stop_any;
    if (overlaps && !stopping && !may_stop_overlap) {
      return false;
    }
    const bool going = victims.contains(i) || stopping;
    if (overlaps || going) {
      blocked &= ~held.mask;
      free += held.amount;
      victims.insert(i);
    } else if (stoppable) {
      candidates.emplace_back(StopCost(s, now, i), i);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [cost, i] : candidates) {
    if (free.Covers(need)) {
      break;
    }
    for (const PlacedTask& task : s.job(i).tasks) {
      if (task.worker == worker) {
        free += AmountOf(s.job(i).spec.shape);
      }
    }
    victims.insert(i);
  }
  return blocked == 0 && free.Covers(need);
}

}  // namespace marjoramplank
