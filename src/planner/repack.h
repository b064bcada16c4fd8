#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Starts a job that can be neither repeated nor resumed on capacity reserved by
// idle cells, if these cells can be located elsewhere. Such a job may not
// borrow, so it would otherwise wait for capacity that is reserved but unused.
bool TryRepackCells(PlannerState& s, Time now, JobIndex i);

// Moves idle cells of the job's account into one rack or data centre, as its
// adjacency requires, if all other cells can be located around them. Returns
// true if the account's cells hold the job afterwards.
bool TryGatherCells(PlannerState& s, JobIndex i);

}  // namespace marjoramplank
