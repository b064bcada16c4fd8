#include "src/planner/cheapest_block.h"

#include <set>

#include "src/planner/occupancy.h"
#include "src/planner/victims.h"

namespace marjoramplank {

namespace {

// Work lost by clearing the mask on a worker; nullopt if it cannot be cleared.
std::optional<std::int64_t> ClearingCost(const PlannerState& s,
                                         Time now,
                                         WorkerIndex i,
                                         AcceleratorMask mask,
                                         const BlockSearchRules& rules) {
  const WorkerState& w = s.table.worker(i);
  std::int64_t cost = 0;
  if ((w.allocated.mask & mask) == 0) {
    return cost;
  }
  for (const JobIndex n : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(n);
    bool overlaps = false;
    for (const PlacedTask& task : job.tasks) {
      if (task.worker != i || (task.mask & mask) == 0) {
        continue;
      }
      overlaps = true;
      if (!rules.may_preempt(job, task.mode)) {
        return std::nullopt;
      }
    }
    cost += overlaps ? PreemptionCost(s, now, n) : 0;
  }
  return cost;
}

}  // namespace

std::optional<CheapestBlock> FindCheapestBlock(const PlannerState& s,
                                               Time now,
                                               std::int32_t n,
                                               const BlockSearchRules& rules) {
  std::optional<CheapestBlock> best;
  const std::int32_t size = BlockSize(n);
  for (std::size_t worker_index = 0; worker_index < s.table.workers().size();
       ++worker_index) {
    const auto i = static_cast<WorkerIndex>(worker_index);
    const WorkerState& w = s.table.worker(i);
    if (!rules.is_eligible(i)) {
      continue;
    }
    const AcceleratorMask unavailable_accelerators =
        rules.unavailable_accelerators(i) | w.claimed.mask;
    for (std::int32_t at = 0; at + size <= w.spec.accelerators; at += size) {
      const AcceleratorMask mask = FullMask(n) << at;
      if ((mask & unavailable_accelerators) != 0) {
        continue;
      }
      const std::optional<std::int64_t> cost =
          ClearingCost(s, now, i, mask, rules);
      if (cost && (!best || *cost < best->cost)) {
        best = CheapestBlock{.worker = i, .mask = mask, .cost = *cost};
      }
    }
  }
  return best;
}

}  // namespace marjoramplank
