#pragma once

#include <cstdint>
#include <vector>

#include "marjoramplank/planner.h"
#include "src/planner/worker_table.h"

namespace marjoramplank {

// How a task relates to the guarantees.
enum class TaskMode {
  // Inside a cell of the job's own account. Never reclaimed.
  kGuaranteed,
  kShared,  // On capacity that is guaranteed to nobody.
  // On capacity guaranteed to others, or beyond what can be reserved. Stopped
  // when that capacity is reclaimed.
  kBorrowed,
};

// One placed task of a job.
struct PlacedTask {
  WorkerIndex worker = kNone;
  AcceleratorMask mask = 0;
  TaskMode mode = TaskMode::kShared;
  std::int32_t cell = kNone;   // Index of the cell. Guaranteed tasks only.
  std::int32_t block = kNone;  // Index of the block in the cell.
};

struct SearchRequest {
  const JobSpec* spec = nullptr;
  CapacityScope scope = CapacityScope::kUnreservedFree;
  // Workers to skip, because the job failed on them. May be null.
  const std::vector<WorkerIndex>* avoided_workers = nullptr;
};

// Places the whole gang on open workers; returns an empty list if it does not
// fit. Best fit: fills the smallest free blocks first, so that the largest stay
// whole. Cost: O(tasks x log workers), for gangs within a rack O(racks).
std::vector<PlacedTask> FindPlacement(const WorkerTable& table,
                                      const SearchRequest& request,
                                      PlannerCounters& counters);

// Places the whole gang on the given workers only, in their order. The workers
// need not be open.
std::vector<PlacedTask> FindPlacementOn(
    const WorkerTable& table,
    const SearchRequest& request,
    const std::vector<WorkerIndex>& workers);

// Places up to `limit` tasks of the shape in `free`, appends them to `out` and
// removes their resources from `free`. Returns the number of tasks placed.
std::int32_t PlaceTasksOnWorker(FreeCapacity& free,
                                const TaskShape& shape,
                                std::int32_t limit,
                                WorkerIndex worker,
                                std::vector<PlacedTask>& out);

}  // namespace marjoramplank
