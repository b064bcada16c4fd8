#pragma once

#include <vector>

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Applies a changed inventory. Running jobs keep their allocations; jobs with a
// task on a removed worker are stopped.
void ApplyInventory(PlannerState& s, Time now, const Inventory& inventory);

// Allocates the tasks of a job that already runs: inside a cell of its account
// where one contains the task's accelerators.
void ReallocateTasks(PlannerState& s,
                     JobIndex i,
                     std::vector<PlacedTask> tasks);

// Adds the job to the evacuating jobs if one of its tasks is in a data centre
// that is out of service.
void MarkIfEvacuating(PlannerState& s, JobIndex i);

}  // namespace marjoramplank
