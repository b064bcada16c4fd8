#include "src/planner/placement_search.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace marjoramplank {

namespace {

// Limit of workers per block class that have free accelerators but too few
// processors, memory or slots.
constexpr std::int32_t kMaxMissesPerClass = 32;

std::size_t ScopeIndex(CapacityScope scope) {
  return scope == CapacityScope::kUnreservedFree ? 0 : 1;
}

bool IsAvoided(const SearchRequest& request, WorkerIndex i) {
  return request.avoided_workers != nullptr &&
         std::find(request.avoided_workers->begin(),
                   request.avoided_workers->end(),
                   i) != request.avoided_workers->end();
}

// Open workers of the rack without a used accelerator in the scope.
std::int32_t CountFreeWorkers(const WorkerTable& table,
                              CapacityScope scope,
                              std::int32_t rack) {
  const std::vector<WorkerIndex>& workers =
      table.racks()[static_cast<std::size_t>(rack)].workers;
  return static_cast<std::int32_t>(
      std::count_if(workers.begin(), workers.end(), [&](WorkerIndex i) {
        return table.IsOpen(i) && table.FreeCapacityOf(i, scope).mask ==
                                      table.worker(i).AllAccelerators();
      }));
}

// True when a task that is not checkpointable runs in the rack.
bool HasUnmovableTask(const WorkerTable& table, std::int32_t rack) {
  const std::vector<WorkerIndex>& workers =
      table.racks()[static_cast<std::size_t>(rack)].workers;
  return std::any_of(workers.begin(), workers.end(), [&](WorkerIndex i) {
    return table.worker(i).unmovable_tasks > 0;
  });
}

// Returns the next workers of a class, those of the racks with the fewest free
// workers first, so that whole racks stay free. Tasks that are not
// checkpointable are concentrated in the same racks, so that the others can be
// cleared for a gang.
std::vector<WorkerIndex> NextCandidates(
    const WorkerTable& table,
    const SearchRequest& request,
    const std::set<WorkerIndex>& open,
    std::set<WorkerIndex>::const_iterator& it) {
  constexpr std::size_t kLookAhead = 16;
  std::vector<std::tuple<bool, std::int32_t, WorkerIndex>> batch;
  for (; it != open.end() && batch.size() < kLookAhead; ++it) {
    const std::int32_t rack = table.worker(*it).rack;
    const bool blocks_clearable_rack =
        !request.spec->checkpointable && !HasUnmovableTask(table, rack);
    batch.emplace_back(blocks_clearable_rack,
                       CountFreeWorkers(table, request.scope, rack), *it);
  }
  std::sort(batch.begin(), batch.end());
  std::vector<WorkerIndex> out;
  out.reserve(batch.size());
  for (const auto& [blocks_clearable_rack, free_workers, i] : batch) {
    out.push_back(i);
  }
  return out;
}

// Places tasks on open workers class by class, from `min_class` up, or from the
// largest class down if `largest_first`, until `tasks_left` is 0. Skips workers
// that take fewer than `min_tasks` tasks.
void FillByBlockClass(const WorkerTable& table,
                      const SearchRequest& request,
                      const DataCentreState& dc,
                      std::int32_t min_class,
                      bool largest_first,
                      std::int32_t min_tasks,
                      std::int32_t& tasks_left,
                      std::vector<PlacedTask>& out,
                      PlannerCounters& counters) {
  for (std::int32_t n = 0; n < kBlockClasses && tasks_left > 0; ++n) {
    const std::int32_t block_class = largest_first ? kBlockClasses - 1 - n : n;
    if (block_class < min_class) {
      continue;
    }
    std::int32_t misses = 0;
    const auto& open = dc.open_workers[ScopeIndex(request.scope)]
                                      [static_cast<std::size_t>(block_class)];
    for (auto it = open.begin();
         it != open.end() && tasks_left > 0 && misses < kMaxMissesPerClass;) {
      for (const WorkerIndex i : NextCandidates(table, request, open, it)) {
        const bool taken =
            std::any_of(out.begin(), out.end(),
                        [&](const PlacedTask& t) { return t.worker == i; });
        if (taken || tasks_left == 0 || IsAvoided(request, i)) {
          continue;
        }
        ++counters.workers_examined;
        FreeCapacity free = table.FreeCapacityOf(i, request.scope);
        const std::size_t before = out.size();
        const std::int32_t placed =
            PlaceTasksOnWorker(free, request.spec->shape, tasks_left, i, out);
        if (placed < std::min(min_tasks, tasks_left)) {
          out.resize(before);
          ++misses;
          continue;
        }
        tasks_left -= placed;
      }
    }
  }
}

std::vector<PlacedTask> PlaceInDataCentre(const WorkerTable& table,
                                          const SearchRequest& request,
                                          const DataCentreState& dc,
                                          std::int32_t& tasks_left,
                                          PlannerCounters& counters) {
  std::vector<PlacedTask> out;
  const TaskShape& shape = request.spec->shape;
  const std::int32_t min_class = BlockClass(shape.accelerators);
  const std::int32_t worker_width =
      dc.workers.empty()
          ? 1
          : std::max(table.worker(dc.workers[0]).spec.accelerators, 1);
  const std::int32_t per_worker =
      shape.accelerators == 0 ? std::numeric_limits<std::int32_t>::max()
                              : worker_width / BlockSize(shape.accelerators);
  if (per_worker > 1 && tasks_left >= per_worker) {
    // Fills whole workers first; the remaining tasks go to the smallest free
    // blocks.
    std::int32_t whole = tasks_left / per_worker * per_worker;
    const std::int32_t rest = tasks_left - whole;
    FillByBlockClass(table, request, dc, BlockClass(worker_width), true,
                     per_worker, whole, out, counters);
    tasks_left = whole + rest;
  }
  FillByBlockClass(table, request, dc, min_class, false, 1, tasks_left, out,
                   counters);
  return out;
}

std::vector<PlacedTask> PlaceOnOneWorker(const WorkerTable& table,
                                         const SearchRequest& request,
                                         const DataCentreState& dc,
                                         PlannerCounters& counters) {
  std::vector<PlacedTask> out;
  const std::int32_t tasks = request.spec->tasks;
  std::int32_t tasks_left = tasks;
  FillByBlockClass(table, request, dc,
                   BlockClass(request.spec->shape.accelerators), false, tasks,
                   tasks_left, out, counters);
  return tasks_left == 0 ? out : std::vector<PlacedTask>{};
}

std::vector<PlacedTask> PlaceInRack(const WorkerTable& table,
                                    const SearchRequest& request,
                                    const DataCentreState& dc,
                                    PlannerCounters& counters) {
  std::vector<PlacedTask> best;
  std::int32_t best_rest = std::numeric_limits<std::int32_t>::max();
  for (const std::int32_t r : dc.racks) {
    std::vector<std::pair<std::int32_t, WorkerIndex>> order;
    std::int32_t free_accelerators = 0;
    for (const WorkerIndex i :
         table.racks()[static_cast<std::size_t>(r)].workers) {
      if (!table.IsOpen(i) || IsAvoided(request, i)) {
        continue;
      }
      ++counters.workers_examined;
      const std::int32_t n =
          std::popcount(table.FreeCapacityOf(i, request.scope).mask);
      free_accelerators += n;
      order.emplace_back(n, i);
    }
    if (free_accelerators <
            request.spec->tasks * request.spec->shape.accelerators ||
        free_accelerators >= best_rest) {
      continue;
    }
    std::sort(order.begin(), order.end());
    std::vector<WorkerIndex> workers;
    workers.reserve(order.size());
    for (const auto& [n, i] : order) {
      workers.push_back(i);
    }
    std::vector<PlacedTask> placed = FindPlacementOn(table, request, workers);
    if (!placed.empty()) {
      best = std::move(placed);
      best_rest = free_accelerators;
    }
  }
  return best;
}

// Data centres that may take the gang, those with the fewest free accelerators
// first, so that the largest free capacity stays whole for large gangs.
std::vector<const DataCentreState*> CandidateDataCentres(
    const WorkerTable& table,
    const SearchRequest& request,
    std::int64_t needed) {
  std::vector<const DataCentreState*> out;
  for (const DataCentreState& dc : table.data_centres()) {
    const bool ramp_closed = dc.is_ramping_up && dc.ramp_tokens < 1;
    if (!dc.spec.out_of_service && !ramp_closed &&
        dc.free_accelerators[ScopeIndex(request.scope)] >= needed) {
      out.push_back(&dc);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [&](const DataCentreState* a, const DataCentreState* b) {
                     return a->free_accelerators[ScopeIndex(request.scope)] <
                            b->free_accelerators[ScopeIndex(request.scope)];
                   });
  return out;
}

}  // namespace

std::int32_t PlaceTasksOnWorker(FreeCapacity& free,
                                const TaskShape& shape,
                                std::int32_t limit,
                                WorkerIndex worker,
                                std::vector<PlacedTask>& out) {
  const HostResources need = HostResourcesOf(shape);
  std::int32_t n = 0;
  while (n < limit && free.host_resources.Covers(need)) {
    const AcceleratorMask mask = PickBlock(free.mask, shape.accelerators);
    if (mask == 0 && shape.accelerators > 0) {
      break;
    }
    free.mask &= ~mask;
    free.host_resources -= need;
    out.push_back({.worker = worker, .mask = mask});
    ++n;
  }
  return n;
}

std::vector<PlacedTask> FindPlacementOn(
    const WorkerTable& table,
    const SearchRequest& request,
    const std::vector<WorkerIndex>& workers) {
  std::vector<PlacedTask> out;
  std::int32_t tasks_left = request.spec->tasks;
  const bool one_worker = request.spec->adjacency == Adjacency::kWorker;
  for (const WorkerIndex i : workers) {
    if (tasks_left == 0) {
      break;
    }
    FreeCapacity free = table.FreeCapacityOf(i, request.scope);
    const std::size_t before = out.size();
    const std::int32_t placed =
        PlaceTasksOnWorker(free, request.spec->shape, tasks_left, i, out);
    if (one_worker && placed < tasks_left) {
      out.resize(before);
      continue;
    }
    tasks_left -= placed;
  }
  return tasks_left == 0 ? out : std::vector<PlacedTask>{};
}

std::vector<PlacedTask> FindPlacement(const WorkerTable& table,
                                      const SearchRequest& request,
                                      PlannerCounters& counters) {
  const JobSpec& spec = *request.spec;
  const std::int64_t needed =
      std::int64_t{spec.tasks} * spec.shape.accelerators;
  std::vector<PlacedTask> out;
  std::int32_t tasks_left = spec.tasks;
  const bool spread = spec.adjacency == Adjacency::kRegion;
  for (const DataCentreState* dc :
       CandidateDataCentres(table, request, spread ? 0 : needed)) {
    switch (spec.adjacency) {
      case Adjacency::kWorker:
        out = PlaceOnOneWorker(table, request, *dc, counters);
        tasks_left = out.empty() ? tasks_left : 0;
        break;
      case Adjacency::kRack:
        out = PlaceInRack(table, request, *dc, counters);
        tasks_left = out.empty() ? tasks_left : 0;
        break;
      case Adjacency::kDataCentre:
        tasks_left = spec.tasks;
        out = PlaceInDataCentre(table, request, *dc, tasks_left, counters);
        break;
      case Adjacency::kRegion: {
        const std::vector<PlacedTask> batch =
            PlaceInDataCentre(table, request, *dc, tasks_left, counters);
        out.insert(out.end(), batch.begin(), batch.end());
        break;
      }
    }
    if (tasks_left == 0) {
      return out;
    }
  }
  return {};
}

}  // namespace marjoramplank
