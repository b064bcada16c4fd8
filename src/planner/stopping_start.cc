// Starts for which other jobs are stopped or moved.

#include "src/planner/start_rules.h"

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "src/planner/cheap_block.h"
#include "src/planner/occupancy.h"
#include "src/planner/offer.h"
#include "src/planner/victims.h"

namespace marjoramplank {

namespace {

// Room of a worker if everything were gone that may be stopped for the job.
FreeRoom RoomWithoutStoppable(const PlannerState& s,
                              Time now,
                              JobIndex for_job,
                              StopFor sake,
                              WorkerIndex i) {
  const WorkerState& w = s.table.worker(i);
  FreeRoom free = s.table.Free(i, Room::kFree);
  for (const JobIndex n : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(n);
    for (const PlacedTask& task : job.tasks) {
      if (task.worker == i && job.phase != JobPhase::kStopping &&
          MayStop(s, now, sake, for_job, job, task.mode)) {
        free.mask |= task.mask;
        free.amount += AmountOf(job.spec.shape);
      }
    }
  }
  if (!s.job(for_job).MayBorrow()) {
    // It may not borrow, so it keeps out of the cells.
    free.mask &= ~(w.firm.mask & ~w.demotable.mask);
    const Amount outside = w.Capacity() - w.firm.amount + w.demotable.amount;
    free.amount.cores = std::min(free.amount.cores, outside.cores);
    free.amount.memory_mb = std::min(free.amount.memory_mb, outside.memory_mb);
    free.amount.slots = std::min(free.amount.slots, outside.slots);
  }
  return free;
}

// An account may stop others for urgent work while it is within its fair share,
// and always for one job.
bool MayStopForUrgent(const PlannerState& s, const JobRecord& job) {
  const AccountState& account = s.account(job.account);
  const std::int64_t outside = account.used_shared + account.used_borrowed;
  return outside == 0 ||
         account.Used() + job.Accelerators() <= FairShare(s, account);
}

StopReason ReasonOf(StopFor sake) {
  switch (sake) {
    case StopFor::kUrgent:
      return StopReason::kUrgent;
    case StopFor::kLargeGang:
      return StopReason::kMoved;
    case StopFor::kGuarantee:
    case StopFor::kEntitled:
      break;
  }
  return StopReason::kReclaimed;
}

// Offer for a single task on the block that costs least to clear.
std::optional<Offer> CheapestSingle(const PlannerState& s,
                                    Time now,
                                    JobIndex i,
                                    StopFor sake) {
  const JobRecord& job = s.job(i);
  if (job.spec.tasks > 1 || job.spec.shape.accelerators == 0) {
    return std::nullopt;
  }
  const CheapBlockRules rules{
      .allows =
          [&](WorkerIndex w) {
            const WorkerState& state = s.table.worker(w);
            return s.table.IsReservable(w) && !state.probing &&
                   (state.drained_for == kNone || state.drained_for == i);
          },
      .fixed =
          [&](WorkerIndex w) {
            const WorkerState& state = s.table.worker(w);
            return job.MayBorrow() ? AcceleratorMask{0}
                                   : state.firm.mask & ~state.demotable.mask;
          },
      .may_clear =
          [&](const JobRecord& other, TaskMode mode) {
            return MayStop(s, now, sake, i, other, mode);
          }};
  const std::optional<CheapBlock> block =
      FindCheapBlock(s, now, job.spec.shape.accelerators, rules);
  if (!block) {
    return std::nullopt;
  }
  Offer offer{.tasks = {{.worker = block->worker, .mask = block->mask}}};
  return Price(s, now, i, sake, offer) ? std::optional(std::move(offer))
                                       : std::nullopt;
}

// Places the gang where the least work is lost by stopping others for it.
bool TryStopping(PlannerState& s, Time now, JobIndex i, StopFor sake) {
  if (!SpendSearch(s)) {
    return false;
  }
  const JobRecord& job = s.job(i);
  std::map<std::int32_t, std::vector<std::pair<std::int64_t, WorkerIndex>>>
      groups;
  for (std::size_t n = 0; n < s.table.workers().size(); ++n) {
    const auto w = static_cast<WorkerIndex>(n);
    const WorkerState& state = s.table.worker(w);
    const bool drained_for_other =
        state.drained_for != kNone && state.drained_for != i;
    if (!s.table.IsReservable(w) || state.probing || drained_for_other) {
      continue;
    }
    ++s.counters.workers_examined;
    std::int64_t cost = 0;
    for (const JobIndex other : state.jobs) {
      cost += StopCost(s, now, other);
    }
    groups[GroupOf(s.table, w, job.spec.adjacency)].emplace_back(cost, w);
  }
  std::optional<Offer> best = CheapestSingle(s, now, i, sake);
  for (auto& [group, workers] : groups) {
    if (best) {
      break;
    }
    std::sort(workers.begin(), workers.end());
    Offer offer;
    std::int32_t left = job.spec.tasks;
    for (const auto& [cost, w] : workers) {
      FreeRoom free = RoomWithoutStoppable(s, now, i, sake, w);
      left -= TakeTasks(free, job.spec.shape, left, w, offer.tasks);
    }
    if (left > 0 || !Price(s, now, i, sake, offer)) {
      continue;
    }
    if (!best || offer.IsBetterThan(*best)) {
      best = std::move(offer);
    }
  }
  if (!best) {
    return false;
  }
  const bool urgent = sake == StopFor::kUrgent;
  for (const JobIndex victim : best->victims) {
    s.job(victim).last_move = urgent ? s.job(victim).last_move : now;
  }
  Take(s, now, i, std::move(*best), ReasonOf(sake));
  return true;
}

}  // namespace

bool TryUrgent(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  return job.spec.priority == Priority::kUrgent &&
         s.account(job.account).spec.may_borrow && MayStopForUrgent(s, job) &&
         TryStopping(s, now, i, StopFor::kUrgent);
}

bool TryEntitled(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  const AccountState& account = s.account(job.account);
  return job.Accelerators() > 0 &&
         account.Used() + job.Accelerators() <= account.promised &&
         account.spec.may_borrow && TryStopping(s, now, i, StopFor::kEntitled);
}

bool TryMakeRoom(PlannerState& s, Time now, JobIndex i) {
  const JobRecord& job = s.job(i);
  return now - job.arrived >= s.options.make_room_patience &&
         job.Accelerators() >= s.options.make_room_accelerators &&
         s.account(job.account).spec.may_borrow &&
         TryStopping(s, now, i, StopFor::kLargeGang);
}

}  // namespace marjoramplank
