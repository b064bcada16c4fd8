#include "src/planner/placement_candidate.h"

#include <map>
#include <utility>

#include "src/planner/start_rules.h"

namespace marjoramplank {

namespace {

std::uint64_t& PreemptionCounter(PlannerState& s, StopReason reason) {
  switch (reason) {
    case StopReason::kUrgent:
      return s.counters.urgent_stops;
    case StopReason::kReclaimed:
      return s.counters.reclaims;
    default:
      return s.counters.moves;
  }
}

}  // namespace

bool EvaluateCandidate(const PlannerState& s,
                       Time now,
                       JobIndex for_job,
                       PreemptionPurpose purpose,
                       PlacementCandidate& candidate) {
  const JobSpec& spec = s.job(for_job).spec;
  std::map<WorkerIndex, ResourceSet> wanted;
  for (const PlacedTask& task : candidate.tasks) {
    wanted[task.worker].Add(task.mask, HostResourcesOf(spec.shape));
  }
  for (const auto& [worker, want] : wanted) {
    if (!CollectVictims(s, now, worker, want.mask, want.host_resources, purpose,
                        for_job, candidate.victims)) {
      return false;
    }
  }
  if (!s.job(for_job).IsPreemptible() &&
      purpose != PreemptionPurpose::kCellReclaim) {
    for (const auto& [worker, want] : wanted) {
      if (!CanVacateByDemotion(s, {.worker = worker,
                                   .mask = want.mask,
                                   .host_resources = want.host_resources})) {
        // A job that may not be stopped may not borrow either: its capacity
        // must be reservable.
        return false;
      }
    }
  }
  candidate.cost = 0;
  for (const JobIndex victim : candidate.victims) {
    candidate.cost += s.job(victim).phase == JobPhase::kStopping
                          ? 0
                          : PreemptionCost(s, now, victim);
  }
  return true;
}

void CommitCandidate(PlannerState& s,
                     Time now,
                     JobIndex i,
                     PlacementCandidate candidate,
                     StopReason reason) {
  for (const JobIndex victim : candidate.victims) {
    if (s.job(victim).phase == JobPhase::kStopping) {
      continue;
    }
    DemoteSharedTasks(s, victim);
    StopJob(s, victim, reason,
            reason == StopReason::kMoved
                ? s.options.move_checkpoint_timeout
                : s.options.reclaim_checkpoint_timeout);
    ++PreemptionCounter(s, reason);
  }
  const bool claim = !candidate.victims.empty();
  AllocateTasks(s, i, std::move(candidate.tasks), claim);
  if (claim) {
    s.job(i).phase = JobPhase::kClaiming;
    s.claiming_jobs.push_back(i);
  } else {
    EmitStart(s, now, i);
  }
}

}  // namespace marjoramplank
