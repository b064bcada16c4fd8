#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// A drain keeps workers free for a blocked gang, so that a stream of small jobs
// cannot starve it. The workers are those on which the gang is expected to fit
// soonest. Other jobs may use them only if they will very likely end in time
// (see TryBackfill).

// Begins drains for the blocked jobs that have waited longer than the drain
// wait, in the given order.
void BeginDrains(PlannerState& s,
                 Time now,
                 const std::vector<JobIndex>& blocked);

// Re-evaluates the drains. Ends those that exceeded the drain timeout, replaces
// those that lost a worker or have a much earlier alternative, and moves
// checkpointable jobs off the drained workers when they fit elsewhere.
void ReviewDrains(PlannerState& s, Time now);

// Ends the drain of the job, if it has one, and makes its workers available
// again.
void EndDrain(PlannerState& s, JobIndex job);
// Makes the workers available for one placement search of the gang itself;
// ResumeDrain() closes them again.
void SuspendDrain(PlannerState& s, JobIndex job);
void ResumeDrain(PlannerState& s, JobIndex job);

}  // namespace marjoramplank
