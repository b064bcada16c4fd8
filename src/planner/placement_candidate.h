#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <tuple>
#include <vector>

#include "src/planner/occupancy.h"
#include "src/planner/victims.h"

namespace marjoramplank {

// A placement together with the preemption victims that have to stop for it.
struct PlacementCandidate {
  std::vector<PlacedTask> tasks;
  std::set<JobIndex> victims;
  // Work lost by stopping the victims, see PreemptionCost().
  std::int64_t cost = std::numeric_limits<std::int64_t>::max();
  // Accelerators that stay unused in the idle cells which the placement
  // would open.
  std::int64_t unused_cell_accelerators = 0;

  // Unused accelerators weigh more than lost work: a cell larger than needed is
  // kept for a job that fills it, even if a borrower has to be stopped instead.
  bool IsBetterThan(const PlacementCandidate& other) const {
    return std::tie(unused_cell_accelerators, cost) <
           std::tie(other.unused_cell_accelerators, other.cost);
  }
};

// Determines the victims and the cost of a candidate. Returns false if its
// capacity cannot be freed.
bool EvaluateCandidate(const PlannerState& s,
                       Time now,
                       JobIndex for_job,
                       PreemptionPurpose purpose,
                       PlacementCandidate& candidate);

// Carries out a candidate: stops the victims and claims the capacity, or starts
// the job at once if there are none.
void CommitCandidate(PlannerState& s,
                     Time now,
                     JobIndex i,
                     PlacementCandidate candidate,
                     StopReason reason);

}  // namespace marjoramplank
