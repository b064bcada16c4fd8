#include "src/planner/repack.h"

#include <algorithm>
#include <utility>

#include "src/planner/occupancy.h"
#include "src/planner/start_rules.h"

namespace marjoramplank {

namespace {

// Bounds the cost of an attempt, which is linear in cells x workers.
constexpr std::size_t kMaxRepackedCells = 256;

struct SavedLocation {
  std::int32_t cell = kNone;
  std::vector<CellBlock> blocks;
};

std::vector<std::int32_t> IdleCells(const PlannerState& s) {
  std::vector<std::int32_t> out;
  for (std::size_t n = 0; n < s.cells.size(); ++n) {
    if (s.cells[n].IsIdle() && s.cells[n].IsLocated()) {
      out.push_back(static_cast<std::int32_t>(n));
    }
  }
  return out;
}

std::vector<std::int32_t> CellsOnWorkersOf(
    const PlannerState& s,
    const std::vector<std::int32_t>& cells,
    const std::vector<PlacedTask>& tasks) {
  std::vector<std::int32_t> out;
  for (const std::int32_t c : cells) {
    const bool touches = std::any_of(
        s.cell(c).blocks.begin(), s.cell(c).blocks.end(),
        [&](const CellBlock& block) {
          return std::any_of(
              tasks.begin(), tasks.end(),
              [&](const PlacedTask& t) { return t.worker == block.worker; });
        });
    if (touches) {
      out.push_back(c);
    }
  }
  return out;
}

void UpdateTaskReservations(PlannerState& s,
                            const JobRecord& job,
                            const std::vector<PlacedTask>& tasks,
                            bool add) {
  const HostResources need = HostResourcesOf(job.spec.shape);
  for (const PlacedTask& t : tasks) {
    s.table.UpdateWorker(t.worker, [&](WorkerState& w) {
      add ? w.reserved.Add(t.mask, need) : w.reserved.Remove(t.mask, need);
    });
  }
}

void RestoreLocations(PlannerState& s,
                      const std::vector<SavedLocation>& saved) {
  for (const SavedLocation& old : saved) {
    UnreserveBlocks(s.table, s.cell(old.cell).blocks);
    s.cell(old.cell).blocks.clear();
  }
  for (const SavedLocation& old : saved) {
    s.cell(old.cell).blocks = old.blocks;
    ReserveBlocks(s.table, old.blocks);
  }
}

std::vector<SavedLocation> RemoveLocations(
    PlannerState& s,
    const std::vector<std::int32_t>& cells) {
  std::vector<SavedLocation> saved;
  for (const std::int32_t c : cells) {
    saved.push_back({.cell = c, .blocks = s.cell(c).blocks});
    UnreserveBlocks(s.table, s.cell(c).blocks);
    s.cell(c).blocks.clear();
  }
  return saved;
}

// Locates the cells that have no location, hardest to place first. Returns
// false as soon as one cannot be located.
bool LocateRemaining(PlannerState& s, std::vector<std::int32_t> cells) {
  std::stable_sort(cells.begin(), cells.end(),
                   [&](std::int32_t a, std::int32_t b) {
                     return PacksBefore(s.cell(a), s.cell(b));
                   });
  for (const std::int32_t c : cells) {
    if (s.cell(c).IsLocated()) {
      continue;
    }
    s.cell(c).blocks =
        FindLocation(s.table, s.cell(c), LocateMode::kUnreserved);
    ReserveBlocks(s.table, s.cell(c).blocks);
    if (!s.cell(c).IsLocated()) {
      return false;
    }
  }
  return true;
}

// Removes the locations of the cells, places the job, and locates the cells
// again around it. Restores everything if a cell does not fit.
bool TryRepackAroundJob(PlannerState& s,
                        Time now,
                        JobIndex i,
                        std::vector<std::int32_t> cells) {
  const JobRecord& job = s.job(i);
  const std::vector<SavedLocation> saved = RemoveLocations(s, cells);
  const SearchRequest request{.spec = &job.spec,
                              .scope = CapacityScope::kUnreservedFree};
  std::vector<PlacedTask> tasks = FindPlacement(s.table, request, s.counters);
  UpdateTaskReservations(s, job, tasks, true);
  const bool fits = !tasks.empty() && LocateRemaining(s, std::move(cells));
  UpdateTaskReservations(s, job, tasks, false);
  if (!fits) {
    RestoreLocations(s, saved);
    return false;
  }
  AllocateTasks(s, i, std::move(tasks), false);
  EmitStart(s, now, i);
  return true;
}

// Racks or data centres in which the account's cells may be gathered.
std::vector<LocationFilter> CandidateGroups(const PlannerState& s,
                                            Adjacency adjacency) {
  std::vector<LocationFilter> out;
  if (adjacency == Adjacency::kRack) {
    for (std::size_t n = 0; n < s.table.racks().size(); ++n) {
      out.push_back({.rack = static_cast<std::int32_t>(n)});
    }
  } else if (adjacency == Adjacency::kDataCentre) {
    for (std::size_t n = 0; n < s.table.data_centres().size(); ++n) {
      out.push_back({.data_centre = static_cast<std::int32_t>(n)});
    }
  }
  return out;
}

// Locates the account's idle cells inside the group as far as they fit, and all
// other cells around them. Restores everything if the job does not fit.
bool TryGatherInGroup(PlannerState& s,
                      JobIndex i,
                      const LocationFilter& filter,
                      const std::vector<std::int32_t>& idle_cells) {
  const JobRecord& job = s.job(i);
  const std::vector<SavedLocation> saved = RemoveLocations(s, idle_cells);
  std::vector<std::int32_t> own;
  std::copy_if(
      idle_cells.begin(), idle_cells.end(), std::back_inserter(own),
      [&](std::int32_t c) { return s.cell(c).account == job.account; });
  std::stable_sort(own.begin(), own.end(), [&](std::int32_t a, std::int32_t b) {
    return PacksBefore(s.cell(a), s.cell(b));
  });
  for (const std::int32_t c : own) {
    s.cell(c).blocks =
        FindLocation(s.table, s.cell(c), LocateMode::kUnreserved, filter);
    ReserveBlocks(s.table, s.cell(c).blocks);
  }
  const std::int32_t group =
      filter.rack != kNone ? filter.rack : filter.data_centre;
  if (!PlaceInCells(s, job, group).empty() && LocateRemaining(s, idle_cells)) {
    return true;
  }
  RestoreLocations(s, saved);
  return false;
}

}  // namespace

bool TryGatherCells(PlannerState& s, JobIndex i) {
  const JobRecord& job = s.job(i);
  // Cells x workers x groups.
  constexpr std::size_t kMaxGatherSteps = 2'000'000;
  const std::vector<LocationFilter> groups =
      CandidateGroups(s, job.spec.adjacency);
  const std::vector<std::int32_t> idle_cells = IdleCells(s);
  std::int64_t own_free = 0;
  for (const std::int32_t c : s.account(job.account).cells) {
    const CellSize& size = s.cell(c).size;
    own_free += s.cell(c).IsIdle() && s.cell(c).IsLocated()
                    ? std::int64_t{size.accelerators} * size.workers
                    : 0;
  }
  const std::size_t work =
      idle_cells.size() * s.table.workers().size() * groups.size();
  if (job.spec.tasks == 1 || own_free < job.TotalAccelerators() || work == 0 ||
      work > kMaxGatherSteps || !ConsumeSearchBudget(s)) {
    return false;
  }
  return std::any_of(groups.begin(), groups.end(),
                     [&](const LocationFilter& filter) {
                       return TryGatherInGroup(s, i, filter, idle_cells);
                     });
}

bool TryRepackCells(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  if (job.MayBorrow() || !s.account(job.account).spec.may_borrow) {
    return false;
  }
  const SearchRequest request{.spec = &job.spec,
                              .scope = CapacityScope::kAnyFree};
  const std::vector<PlacedTask> free_placement =
      FindPlacement(s.table, request, s.counters);
  if (free_placement.empty()) {
    return false;
  }
  const std::vector<std::int32_t> idle_cells = IdleCells(s);
  const std::vector<std::int32_t> nearby_cells =
      CellsOnWorkersOf(s, idle_cells, free_placement);
  return (nearby_cells.size() <= kMaxRepackedCells &&
          TryRepackAroundJob(s, now, i, nearby_cells)) ||
         (idle_cells.size() <= kMaxRepackedCells &&
          TryRepackAroundJob(s, now, i, idle_cells));
}

}  // namespace marjoramplank
