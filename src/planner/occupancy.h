#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Allocation and release of tasks. Every change of a job's tasks goes through
// these functions.

// Allocates the tasks of a waiting job. With `as_claim` the resources are only
// claimed, because preemption victims still hold them. A task outside the cells
// becomes shared if it fits the unreserved capacity of its worker, else
// borrowed.
void AllocateTasks(PlannerState& s,
                   JobIndex i,
                   std::vector<PlacedTask> tasks,
                   bool as_claim);

// Turns the claim of a job into an allocation once every victim is gone.
// Returns false while one is not.
bool TryActivateClaim(PlannerState& s, JobIndex i);

// Releases every task of the job.
void ReleaseTasks(PlannerState& s, JobIndex i);

// Turns the shared tasks of a preemptible job into borrowed ones, which frees
// reserved capacity.
void DemoteSharedTasks(PlannerState& s, JobIndex i);

// True when only shared tasks of preemptible jobs stand in the way of reserving
// the block.
bool CanVacateByDemotion(const PlannerState& s, const CellBlock& block);

// Demotes the shared tasks of preemptible jobs on the worker until the block
// can be reserved.
void VacateByDemotion(PlannerState& s, const CellBlock& block);

// Turns borrowed tasks on a worker back into shared ones where unreserved
// capacity allows.
void PromoteBorrowedTasks(PlannerState& s, WorkerIndex worker);

// Locates the cells that have no location; demotes shared tasks if there is no
// other way.
void LocateCells(PlannerState& s);

// Locates one of the unlocated cells of the account so that it covers a task
// that already runs.
void LocateCellAroundTask(PlannerState& s,
                          std::int32_t account,
                          const PlacedTask& task);

// Moves an idle cell back to its initial blocks, which were chosen to leave
// large racks whole, unless a task that is not preemptible is there.
void ReturnCellToInitialBlocks(PlannerState& s, std::int32_t cell);

// Moves an idle cell to other blocks, which must be unreserved.
void MoveCell(PlannerState& s,
              std::int32_t cell,
              std::vector<CellBlock> blocks);

// Swaps the locations of two idle cells of the same size.
void SwapCellLocations(PlannerState& s, std::int32_t a, std::int32_t b);

}  // namespace marjoramplank
