#pragma once

#include <functional>
#include <optional>

#include "src/planner/planner_state.h"

namespace marjoramplank {

// A block of adjacent accelerators with the work that is lost by stopping the
// tasks on it.
struct CheapestBlock {
  WorkerIndex worker = kNone;
  AcceleratorMask mask = 0;
  std::int64_t cost = 0;  // Lost work, see PreemptionCost().
};

// Constraints of a block search.
struct BlockSearchRules {
  // Returns false if the worker must be skipped.
  std::function<bool(WorkerIndex)> is_eligible;
  // Returns the accelerators of the worker that must not be used.
  std::function<AcceleratorMask(WorkerIndex)> unavailable_accelerators;
  // Returns false if a task of this job and mode must not be stopped.
  std::function<bool(const JobRecord&, TaskMode)> may_preempt;
};

// Finds the block of n accelerators that costs least to clear. Linear in the
// number of workers, so it is called only when something has to be stopped or
// moved anyway.
std::optional<CheapestBlock> FindCheapestBlock(const PlannerState& s,
                                               Time now,
                                               std::int32_t n,
                                               const BlockSearchRules& rules);

}  // namespace marjoramplank
