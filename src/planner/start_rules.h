#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Rules that start a waiting job; TryStart() has their order. Each returns true
// if the job has left the queue: it was started, or its resources are claimed
// and the victims are being stopped.

// Starts the job inside the cells of its own account. Idle cells are moved away
// from borrowers where possible; borrowers that are still in the way are
// stopped.
enum class CellUsePolicy {
  // Opens idle cells only if the job fills them; cells in use may be filled up.
  kNoWaste,
  kAny,
};
bool TryGuaranteedCells(PlannerState& s,
                        Time now,
                        JobIndex i,
                        CellUsePolicy use);

// Starts the job on free capacity: unreserved capacity first, then, for jobs
// that may borrow, any.
bool TryFreeCapacity(PlannerState& s, Time now, JobIndex i);

// Starts the job on workers drained for a gang, if it will very likely end
// before the gang is expected to fit.
bool TryBackfill(PlannerState& s, Time now, JobIndex i);

// For urgent jobs: stops preemptible normal jobs, those that lose least work.
bool TryPreemptForUrgentJob(PlannerState& s, Time now, JobIndex i);

// For jobs within their account's guarantee but outside its cells: stops jobs
// of accounts above their fair share.
bool TryPreemptForEntitlement(PlannerState& s, Time now, JobIndex i);

// For large gangs that have waited: moves smaller checkpointable jobs, or stops
// young ones.
bool TryPreemptForLargeGang(PlannerState& s, Time now, JobIndex i);

// Tries all rules in order of preference.
bool TryStart(PlannerState& s, Time now, JobIndex i);

// Emits StopGang for a running or starting job; does nothing if it is already
// stopping. `checkpoint_timeout` applies if the job is checkpointable.
void StopJob(PlannerState& s,
             JobIndex i,
             StopReason reason,
             Duration checkpoint_timeout);

// Emits StartGang for a job whose tasks are allocated.
void EmitStart(PlannerState& s, Time now, JobIndex i);

// Places the gang into the cells of its account within one adjacency group.
// Returns an empty list if they do not hold it.
std::vector<PlacedTask> PlaceInCells(const PlannerState& s,
                                     const JobRecord& job,
                                     std::int32_t group);

// Charges one search over all workers to the budget of the current pass.
// Returns false if the budget is exhausted; another pass follows shortly.
bool ConsumeSearchBudget(PlannerState& s);

// Returns the index of the worker, rack or data centre (0 for a region) that
// all tasks of a gang with this adjacency must have in common.
std::int32_t AdjacencyGroupOf(const WorkerTable& table,
                              WorkerIndex worker,
                              Adjacency adjacency);

}  // namespace marjoramplank
