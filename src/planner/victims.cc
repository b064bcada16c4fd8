#include "src/planner/victims.h"

#include <algorithm>

namespace marjoramplank {

std::int64_t PreemptionCost(const PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  const std::int64_t width = std::max<std::int64_t>(job.TotalAccelerators(), 1);
  constexpr std::int64_t kCheckpointCostMs = 5'000;
  const std::int64_t elapsed =
      job.phase == JobPhase::kRunning ? (now - job.started_at).count() : 0;
  return width * (job.spec.checkpointable ? std::min(kCheckpointCostMs, elapsed)
                                          : elapsed);
}

std::int64_t FairShare(const PlannerState& s, const AccountState& account) {
  const auto accounts = static_cast<std::int64_t>(s.accounts.size());
  return account.guaranteed_accelerators +
         s.unguaranteed_accelerators / std::max<std::int64_t>(accounts, 1);
}

bool MayPreempt(const PlannerState& s,
                Time now,
                PreemptionPurpose purpose,
                JobIndex for_job,
                const JobRecord& job,
                TaskMode mode) {
  // A guaranteed job that is moved for a large gang is started again at once,
  // as its cell is located elsewhere.
  const bool is_protected =
      mode == TaskMode::kGuaranteed && purpose != PreemptionPurpose::kLargeGang;
  if (is_protected || !job.IsPreemptible()) {
    return false;
  }
  switch (purpose) {
    case PreemptionPurpose::kCellReclaim:
      return mode == TaskMode::kBorrowed;
    case PreemptionPurpose::kUrgentJob:
      return job.spec.priority != Priority::kUrgent;
    case PreemptionPurpose::kEntitlement: {
      const AccountState& owner = s.account(job.account);
      return job.spec.priority != Priority::kUrgent &&
             job.account != s.job(for_job).account &&
             owner.UsedAccelerators() > FairShare(s, owner);
    }
    case PreemptionPurpose::kLargeGang:
      break;
  }
  const Time last_started_or_moved_at =
      std::max(job.started_at, job.last_moved_at);
  const bool keeps_progress =
      job.spec.checkpointable &&
      now - last_started_or_moved_at >= s.options.min_move_interval;
  const bool is_young_run = mode != TaskMode::kGuaranteed &&
                            !job.spec.checkpointable &&
                            job.runs_lost_to_reclaim == 0 &&
                            now - job.started_at <= s.options.young_run_limit;
  return job.phase == JobPhase::kRunning && (keeps_progress || is_young_run) &&
         job.spec.priority != Priority::kUrgent &&
         job.TotalAccelerators() * 2 <= s.job(for_job).TotalAccelerators();
}

bool CollectVictims(const PlannerState& s,
                    Time now,
                    WorkerIndex worker,
                    AcceleratorMask mask,
                    const HostResources& need,
                    PreemptionPurpose purpose,
                    JobIndex for_job,
                    std::set<JobIndex>& victims) {
  const WorkerState& w = s.table.worker(worker);
  if ((w.claimed.mask & mask) != 0) {
    // Claimed for another job; the capacity can be reclaimed once that job
    // runs.
    return false;
  }
  AcceleratorMask blocked = w.allocated.mask & mask;
  HostResources free =
      w.HostCapacity() - w.allocated.host_resources - w.claimed.host_resources;
  std::vector<std::pair<std::int64_t, JobIndex>> candidates;
  for (const JobIndex i : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(i);
    ResourceSet held;
    bool overlaps = false;
    // Every overlapping task may be stopped.
    bool may_preempt_overlapping = true;
    // Some task here may be stopped, and with it the whole gang.
    bool may_preempt_any = false;
    for (const PlacedTask& task : job.tasks) {
      if (task.worker != worker) {
        continue;
      }
      held.Add(task.mask, HostResourcesOf(job.spec.shape));
      const bool may_preempt_task =
          MayPreempt(s, now, purpose, for_job, job, task.mode);
      may_preempt_any = may_preempt_any || may_preempt_task;
      if ((task.mask & mask) != 0) {
        overlaps = true;
        may_preempt_overlapping = may_preempt_overlapping && may_preempt_task;
      }
    }
    const bool stopping = job.phase == JobPhase::kStopping;
    const bool is_preemptible = stopping || may_preempt_any;
    if (overlaps && !stopping && !may_preempt_overlapping) {
      return false;
    }
    const bool is_leaving = victims.contains(i) || stopping;
    if (overlaps || is_leaving) {
      blocked &= ~held.mask;
      free += held.host_resources;
      victims.insert(i);
    } else if (is_preemptible) {
      candidates.emplace_back(PreemptionCost(s, now, i), i);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [cost, i] : candidates) {
    if (free.Covers(need)) {
      break;
    }
    for (const PlacedTask& task : s.job(i).tasks) {
      if (task.worker == worker) {
        free += HostResourcesOf(s.job(i).spec.shape);
      }
    }
    victims.insert(i);
  }
  return blocked == 0 && free.Covers(need);
}

}  // namespace marjoramplank
