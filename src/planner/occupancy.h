#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Moves tasks in and out of the ledgers. Every change of a job's tasks goes
// through here.

// Puts the tasks of a waiting job into the ledgers as claims (victims still
// hold the room) or as actual use. A task without a cell becomes shared where
// the firm ledger has room for it, else borrowed.
void Occupy(PlannerState& s,
            JobIndex i,
            std::vector<PlacedTask> tasks,
            bool claim);

// Turns the claims of a job into actual use, if every victim is gone. Returns
// false while one is not.
bool ConvertClaim(PlannerState& s, JobIndex i);

// Takes every task of the job out of the ledgers.
void Release(PlannerState& s, JobIndex i);

// Turns the shared tasks of a stoppable job into borrowed ones, which frees
// firm room.
void Demote(PlannerState& s, JobIndex i);

// True when nothing but stoppable tasks holds the firm room of the block.
bool CanDemoteInto(const PlannerState& s, const CellBlock& block);

// Demotes stoppable jobs on the worker until the block fits the firm ledger.
void DemoteOverlapping(PlannerState& s, const CellBlock& block);

// Turns borrowed tasks on a worker into shared ones where the firm ledger has
// room again.
void Promote(PlannerState& s, WorkerIndex worker);

// Gives every cell without a location one, demoting shared tasks if there is no
// other way.
void LocateCells(PlannerState& s);

// Locates a cell of the account, if one has no location yet, so that it covers
// a task that already runs.
void CoverWithCell(PlannerState& s,
                   std::int32_t account,
                   const PlacedTask& task);

// Moves an idle cell back to where it was packed at first, where large racks
// are left whole, if nothing unstoppable is there.
void SendCellHome(PlannerState& s, std::int32_t cell);

// Moves an idle cell to other blocks. The blocks must be free in the firm
// ledger.
void MoveCell(PlannerState& s,
              std::int32_t cell,
              std::vector<CellBlock> blocks);

// Swaps the locations of two idle cells of the same size.
void SwapCells(PlannerState& s, std::int32_t a, std::int32_t b);

}  // namespace marjoramplank
