// Starts inside the cells of the job's own account.

#include "src/planner/start_rules.h"

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "src/planner/cheapest_block.h"
#include "src/planner/occupancy.h"
#include "src/planner/placement_candidate.h"
#include "src/planner/repack.h"

namespace marjoramplank {

namespace {

std::set<std::int32_t> AdjacencyGroupsOfCells(const PlannerState& s,
                                              const JobRecord& job) {
  std::set<std::int32_t> groups;
  for (const std::int32_t c : s.account(job.account).cells) {
    for (const CellBlock& block : s.cell(c).blocks) {
      if (block.worker != kNone) {
        groups.insert(
            AdjacencyGroupOf(s.table, block.worker, job.spec.adjacency));
      }
    }
  }
  return groups;
}

// Accelerators of the idle cells that the tasks open, less those that the tasks
// use there.
std::int64_t UnusedCellAccelerators(const PlannerState& s,
                                    const std::vector<PlacedTask>& tasks) {
  std::set<std::int32_t> opened;
  std::int64_t unused_cell_accelerators = 0;
  for (const PlacedTask& task : tasks) {
    const Cell& cell = s.cell(task.cell);
    if (!cell.IsIdle()) {
      continue;
    }
    unused_cell_accelerators -= std::popcount(task.mask);
    if (opened.insert(task.cell).second) {
      unused_cell_accelerators +=
          std::int64_t{cell.size.accelerators} * cell.size.workers;
    }
  }
  return unused_cell_accelerators;
}

std::optional<PlacementCandidate> FindCellPlacement(const PlannerState& s,
                                                    Time now,
                                                    JobIndex i) {
  const JobRecord& job = s.job(i);
  std::optional<PlacementCandidate> best;
  for (const std::int32_t group : AdjacencyGroupsOfCells(s, job)) {
    PlacementCandidate candidate{.tasks = PlaceInCells(s, job, group)};
    if (candidate.tasks.empty() ||
        !EvaluateCandidate(s, now, i, PreemptionPurpose::kCellReclaim,
                           candidate)) {
      continue;
    }
    candidate.unused_cell_accelerators =
        UnusedCellAccelerators(s, candidate.tasks);
    if (!best || candidate.IsBetterThan(*best)) {
      best = std::move(candidate);
    }
  }
  return best;
}

// True when no task is allocated or claimed in the blocks.
bool IsUnused(const PlannerState& s, const std::vector<CellBlock>& blocks) {
  return std::all_of(blocks.begin(), blocks.end(), [&](const CellBlock& block) {
    if (block.worker == kNone || !s.table.IsReservable(block.worker)) {
      return false;
    }
    const FreeCapacity free =
        s.table.FreeCapacityOf(block.worker, CapacityScope::kAnyFree);
    return (free.mask & block.mask) == block.mask &&
           free.host_resources.Covers(block.host_resources);
  });
}

bool AreInSameGroup(const PlannerState& s,
                    const std::vector<CellBlock>& a,
                    const std::vector<CellBlock>& b,
                    Adjacency adjacency) {
  return AdjacencyGroupOf(s.table, a[0].worker, adjacency) ==
         AdjacencyGroupOf(s.table, b[0].worker, adjacency);
}

// Moves an idle cell away from borrowers: to capacity without tasks, or by
// swapping locations with another idle cell that has no tasks in its blocks.
// With `same_group` the new location must be in the same adjacency group as the
// old one.
bool MoveAwayFromBorrowers(PlannerState& s,
                           std::int32_t c,
                           Adjacency adjacency,
                           bool same_group) {
  const Cell& cell = s.cell(c);
  if (!cell.IsIdle() || IsUnused(s, cell.blocks)) {
    return false;
  }
  std::vector<CellBlock> new_blocks =
      FindLocation(s.table, cell, LocateMode::kUnreservedAndIdle);
  if (!new_blocks.empty() &&
      (!same_group || AreInSameGroup(s, new_blocks, cell.blocks, adjacency))) {
    MoveCell(s, c, std::move(new_blocks));
    return true;
  }
  for (std::size_t n = 0; n < s.cells.size(); ++n) {
    const auto other = static_cast<std::int32_t>(n);
    const Cell& o = s.cell(other);
    if (other == c || o.size != cell.size || !o.IsIdle() || !o.IsLocated() ||
        !IsUnused(s, o.blocks) ||
        !o.Allows(s.table.worker(cell.blocks[0].worker).data_centre) ||
        !cell.Allows(s.table.worker(o.blocks[0].worker).data_centre) ||
        (same_group && !AreInSameGroup(s, o.blocks, cell.blocks, adjacency))) {
      continue;
    }
    SwapCellLocations(s, c, other);
    return true;
  }
  return false;
}

// True when the tasks would open an idle cell of several whole workers.
bool OpensRackCell(const PlannerState& s,
                   const std::vector<PlacedTask>& tasks) {
  return std::any_of(tasks.begin(), tasks.end(), [&](const PlacedTask& t) {
    return s.cell(t.cell).IsIdle() && s.cell(t.cell).size.workers > 1;
  });
}

// Moves an idle cell to the block that costs least to clear, if that loses less
// work than clearing its current location (`cost_here`). The jobs at the
// current location then continue.
bool MoveToCheaperBlock(PlannerState& s,
                        Time now,
                        std::int32_t c,
                        std::int64_t cost_here) {
  const Cell& cell = s.cell(c);
  const std::int32_t n = cell.size.accelerators;
  if (!cell.IsIdle() || cell.size.workers > 1) {
    return false;
  }
  const BlockSearchRules rules{
      .is_eligible =
          [&](WorkerIndex i) {
            const WorkerState& w = s.table.worker(i);
            return cell.Allows(w.data_centre) && s.table.IsReservable(i) &&
                   !w.on_probation && w.drained_for == kNone;
          },
      .unavailable_accelerators =
          [&](WorkerIndex i) {
            const WorkerState& w = s.table.worker(i);
            const HostResources free = w.HostCapacity() -
                                       w.reserved.host_resources +
                                       w.reserved_by_preemptible.host_resources;
            const bool has_host_resources =
                free.Covers(ProportionalHostResources(w, n));
            return has_host_resources
                       ? w.reserved.mask & ~w.reserved_by_preemptible.mask
                       : w.AllAccelerators();
          },
      .may_preempt =
          [](const JobRecord& job, TaskMode mode) {
            return mode != TaskMode::kGuaranteed && job.IsPreemptible() &&
                   job.spec.priority != Priority::kUrgent;
          }};
  const std::optional<CheapestBlock> best = FindCheapestBlock(s, now, n, rules);
  if (!best || best->cost >= cost_here) {
    return false;
  }
  const CellBlock block{.worker = best->worker,
                        .mask = best->mask,
                        .host_resources = ProportionalHostResources(
                            s.table.worker(best->worker), n)};
  VacateByDemotion(s, block);
  MoveCell(s, c, {block});
  return true;
}

std::optional<PlacementCandidate> PrepareCellPlacement(PlannerState& s,
                                                       Time now,
                                                       JobIndex i) {
  std::optional<PlacementCandidate> candidate = FindCellPlacement(s, now, i);
  if (!candidate && TryGatherCells(s, i)) {
    candidate = FindCellPlacement(s, now, i);
  }
  if (!candidate || candidate->victims.empty()) {
    return candidate;
  }
  std::set<std::int32_t> cells;
  for (const PlacedTask& task : candidate->tasks) {
    cells.insert(task.cell);
  }
  bool moved = false;
  for (const std::int32_t c : cells) {
    moved = MoveAwayFromBorrowers(s, c, s.job(i).spec.adjacency,
                                  cells.size() > 1) ||
            moved;
  }
  if (moved) {
    candidate = FindCellPlacement(s, now, i);
  }
  if (candidate && !candidate->victims.empty() && cells.size() == 1 &&
      MoveToCheaperBlock(s, now, candidate->tasks[0].cell, candidate->cost)) {
    candidate = FindCellPlacement(s, now, i);
  }
  return candidate;
}

}  // namespace

bool TryGuaranteedCells(PlannerState& s,
                        Time now,
                        JobIndex i,
                        CellUsePolicy use) {
  std::optional<PlacementCandidate> candidate = PrepareCellPlacement(s, now, i);
  if (!candidate || (use == CellUsePolicy::kNoWaste &&
                     candidate->unused_cell_accelerators > 0)) {
    return false;
  }
  const bool waited_long_enough =
      now - s.job(i).submitted_at >= s.options.rack_cell_wait;
  if (candidate->unused_cell_accelerators > 0 && s.job(i).MayBorrow() &&
      !waited_long_enough && OpensRackCell(s, candidate->tasks)) {
    return false;
  }
  CommitCandidate(s, now, i, std::move(*candidate), StopReason::kReclaimed);
  return true;
}

std::vector<PlacedTask> PlaceInCells(const PlannerState& s,
                                     const JobRecord& job,
                                     std::int32_t group) {
  std::vector<std::int32_t> order;
  for (const std::int32_t c : s.account(job.account).cells) {
    if (s.cell(c).IsLocated()) {
      order.push_back(c);
    }
  }
  // Cells in use first, then by ascending size.
  std::stable_sort(order.begin(), order.end(),
                   [&](std::int32_t a, std::int32_t b) {
                     const auto key = [&](std::int32_t c) {
                       return std::pair{s.cell(c).IsIdle(), s.cell(c).size};
                     };
                     return key(a) < key(b);
                   });
  std::vector<PlacedTask> out;
  std::int32_t tasks_left = job.spec.tasks;
  for (const std::int32_t c : order) {
    const Cell& cell = s.cell(c);
    for (std::size_t b = 0; b < cell.blocks.size() && tasks_left > 0; ++b) {
      const CellBlock& block = cell.blocks[b];
      if (block.worker == kNone || !s.table.IsReservable(block.worker) ||
          AdjacencyGroupOf(s.table, block.worker, job.spec.adjacency) !=
              group) {
        continue;
      }
      FreeCapacity free{.mask = block.mask & ~block.used_resources.mask,
                        .host_resources = block.host_resources -
                                          block.used_resources.host_resources};
      const std::size_t before = out.size();
      tasks_left -= PlaceTasksOnWorker(free, job.spec.shape, tasks_left,
                                       block.worker, out);
      for (std::size_t n = before; n < out.size(); ++n) {
        out[n].mode = TaskMode::kGuaranteed;
        out[n].cell = c;
        out[n].block = static_cast<std::int32_t>(b);
      }
    }
  }
  return tasks_left == 0 ? out : std::vector<PlacedTask>{};
}

}  // namespace marjoramplank
