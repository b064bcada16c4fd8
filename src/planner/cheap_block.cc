#include "src/planner/cheap_block.h"

#include <set>

#include "src/planner/occupancy.h"
#include "src/planner/victims.h"

namespace marjoramplank {

namespace {

// Cost of clearing the mask on a worker, or nothing if it cannot be cleared.
std::optional<std::int64_t> CostOf(const PlannerState& s,
                                   Time now,
                                   WorkerIndex i,
                                   AcceleratorMask mask,
                                   const CheapBlockRules& rules) {
  const WorkerState& w = s.table.worker(i);
  std::int64_t cost = 0;
  if ((w.actual.mask & mask) == 0) {
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
      if (!rules.may_clear(job, task.mode)) {
        return std::nullopt;
      }
    }
    cost += overlaps ? StopCost(s, now, n) : 0;
  }
  return cost;
}

}  // namespace

std::optional<CheapBlock> FindCheapBlock(const PlannerState& s,
                                         Time now,
                                         std::int32_t n,
                                         const CheapBlockRules& rules) {
  std::optional<CheapBlock> best;
  const std::int32_t size = BlockSize(n);
  for (std::size_t k = 0; k < s.table.workers().size(); ++k) {
    const auto i = static_cast<WorkerIndex>(k);
    const WorkerState& w = s.table.worker(i);
    if (!rules.allows(i)) {
      continue;
    }
    const AcceleratorMask fixed = rules.fixed(i) | w.claims.mask;
    for (std::int32_t at = 0; at + size <= w.spec.accelerators; at += size) {
      const AcceleratorMask mask = FullMask(n) << at;
      if ((mask & fixed) != 0) {
        continue;
      }
      const std::optional<std::int64_t> cost = CostOf(s, now, i, mask, rules);
      if (cost && (!best || *cost < best->cost)) {
        best = CheapBlock{.worker = i, .mask = mask, .cost = *cost};
      }
    }
  }
  return best;
}

}  // namespace marjoramplank
