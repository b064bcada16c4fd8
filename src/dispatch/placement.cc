#include "src/dispatch/placement.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace marjoramplank {

namespace {

constexpr std::int32_t kUnbounded = std::numeric_limits<std::int32_t>::max();

std::int32_t CountThatFit(std::int64_t available, std::int64_t need) {
  if (need <= 0) {
    return kUnbounded;
  }
  return static_cast<std::int32_t>(std::max<std::int64_t>(0, available / need));
}

// Cheaper than counting, for the many workers that are full.
bool AnyFits(const Resources& available, const Resources& need) {
  const auto fits = [](std::int64_t have, std::int64_t wanted) {
    return wanted <= 0 || have >= wanted;
  };
  return fits(available.accelerators, need.accelerators) &&
         fits(available.cpu_milli, need.cpu_milli) &&
         fits(available.memory_mb, need.memory_mb);
}

// Tasks of the unit's step that run on the worker or are planned for it.
std::int32_t TasksOfStepOn(const WaitingUnit& unit,
                           const WorkerCapacity& worker) {
  const TaskRef first_of_step = FirstTaskOfStep(unit.first_task);
  const auto planned = worker.planned_tasks.find(first_of_step);
  std::int32_t count =
      planned == worker.planned_tasks.end() ? 0 : planned->second;
  const std::map<TaskRef, LiveRun>& runs = worker.entry->runs;
  for (auto it = runs.lower_bound(first_of_step); it != runs.end(); ++it) {
    const TaskRef& t = it->first;
    if (t.job != first_of_step.job ||
        t.occurrence != first_of_step.occurrence ||
        t.step != first_of_step.step) {
      break;
    }
    ++count;
  }
  return count;
}

const WorkerIncarnation& Id(const WorkerCapacity& worker) {
  return worker.entry->report.incarnation;
}

bool HasLabel(const LedgerWorker& entry, const std::string& label) {
  const std::vector<std::string>& labels = entry.report.labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool IsEligible(const WaitingUnit& unit,
                const WorkerCapacity& worker,
                const PlacementOptions& options) {
  const LedgerWorker& entry = *worker.entry;
  if ((worker.is_quarantined && !options.allow_quarantined) ||
      !MayShare(unit, worker)) {
    return false;
  }
  if (!options.allow_failed_worker &&
      (unit.unit->failed_on_workers.contains(entry.report.incarnation) ||
       unit.unit->HasCrashed(entry.report.agent))) {
    return false;
  }
  return options.allow_any_rack || unit.step->data_rack.empty() ||
         entry.report.rack == unit.step->data_rack;
}

// The room in which the unit may run: a worker that is reserved for a gang has
// room for it only until the gang starts, or beside the gang. `slowness`: of
// the unit's slowest member.
Resources AvailableTo(const WaitingUnit& unit,
                      const WorkerCapacity& worker,
                      double slowness,
                      const PlacementOptions& options) {
  if (!worker.hold || options.allow_reserved ||
      unit.ExpectedEndAt(slowness) <= worker.hold->until) {
    return worker.free;
  }
  const Resources& spare = worker.hold->spare;
  return {
      .cpu_milli = std::min(worker.free.cpu_milli, spare.cpu_milli),
      .memory_mb = std::min(worker.free.memory_mb, spare.memory_mb),
      .accelerators = std::min(worker.free.accelerators, spare.accelerators)};
}

using WorkerList = std::vector<const WorkerCapacity*>;

struct Candidate {
  const WorkerCapacity* worker = nullptr;
  std::int32_t fitting_members = 0;
  // Free capacity before the placement, as one number to sort by: accelerators
  // first, then processors.
  std::int64_t free_score = 0;
};

std::vector<Candidate> FindCandidates(const CapacityTable& table,
                                      const WorkerList& workers,
                                      const WaitingUnit& unit,
                                      const PlacementOptions& options) {
  std::vector<Candidate> out;
  table.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    if (!IsEligible(unit, *worker, options)) {
      continue;
    }
    const std::int32_t fitting_members = MembersThatFit(
        unit, *worker,
        AvailableTo(unit, *worker, worker->RunTimeFactor(), options));
    if (fitting_members > 0) {
      // One accelerator outweighs the processors of any worker below 1,000
      // cores.
      constexpr std::int64_t kAcceleratorWeight = 1'000'000;
      out.push_back(
          {.worker = worker,
           .fitting_members = fitting_members,
           .free_score = worker->free.accelerators * kAcceleratorWeight +
                         worker->free.cpu_milli});
    }
  }
  // Best fit: the worker with the least free capacity goes first.
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.free_score != b.free_score ? a.free_score < b.free_score
                                        : Id(*a.worker) < Id(*b.worker);
  });
  if (unit.needs_trial) {
    std::reverse(out.begin(), out.end());  // Least is lost with an empty one.
  }
  return out;
}

std::optional<UnitPlacement> AssignMembers(
    const std::vector<Candidate>& candidates,
    const WaitingUnit& unit) {
  UnitPlacement placement;
  std::int32_t index = unit.first_task.index;
  const auto is_complete = [&] {
    return static_cast<std::int32_t>(placement.members.size()) ==
           unit.member_count;
  };
  for (const Candidate& candidate : candidates) {
    if (is_complete()) {
      break;
    }
    for (std::int32_t n = 0; n < candidate.fitting_members && !is_complete();
         ++n) {
      placement.members.push_back(
          {.index = index++, .incarnation = Id(*candidate.worker)});
    }
    placement.speed_class =
        std::max(placement.speed_class, candidate.worker->speed_class);
    placement.slowness =
        std::max(placement.slowness, candidate.worker->RunTimeFactor());
  }
  return is_complete() ? std::optional(placement) : std::nullopt;
}

// The candidates of these speed tiers, in their order, with the room that each
// has for a unit whose slowest member is of the last tier.
std::vector<Candidate> OfTiers(const std::vector<Candidate>& candidates,
                               std::int32_t first_tier,
                               std::int32_t last_tier,
                               const WaitingUnit& unit,
                               const PlacementOptions& options) {
  std::vector<Candidate> out;
  double slowness = 1;
  for (const Candidate& c : candidates) {
    const std::int32_t tier = c.worker->SpeedTier();
    if (tier >= first_tier && tier <= last_tier) {
      out.push_back(c);
      slowness = std::max(slowness, c.worker->RunTimeFactor());
    }
  }
  if (unit.member_count == 1) {
    return out;  // It ends by the speed of its own worker.
  }
  for (Candidate& c : out) {
    if (c.worker->hold) {
      c.fitting_members = MembersThatFit(
          unit, *c.worker, AvailableTo(unit, *c.worker, slowness, options));
    }
  }
  return out;
}

constexpr std::int32_t kFirstSlowTier = 2;

// Best fit among the workers up to the fastest tier that has enough room.
std::optional<UnitPlacement> AssignFastFirst(
    const std::vector<Candidate>& candidates,
    const WaitingUnit& unit,
    const PlacementOptions& options) {
  std::set<std::int32_t> tiers;
  for (const Candidate& c : candidates) {
    tiers.insert(c.worker->SpeedTier());
  }
  for (const std::int32_t tier : tiers) {
    if (std::optional<UnitPlacement> placement =
            AssignMembers(OfTiers(candidates, 0, tier, unit, options), unit)) {
      return placement;
    }
  }
  return std::nullopt;
}

bool IsWhole(const WorkerCapacity& worker) {
  return worker.free == worker.entry->report.capacity;
}

std::int64_t CountWholeWorkers(const std::vector<Candidate>& candidates,
                               const UnitPlacement& placement) {
  return std::count_if(
      candidates.begin(), candidates.end(), [&](const Candidate& c) {
        return IsWhole(*c.worker) &&
               std::any_of(placement.members.begin(), placement.members.end(),
                           [&](const MemberPlace& m) {
                             return m.incarnation == Id(*c.worker);
                           });
      });
}

// A gang runs on slow workers only or as if it had no slack: a fast worker
// would idle beside a slow one.
std::optional<UnitPlacement> AssignGangSlowFirst(
    const std::vector<Candidate>& candidates,
    const WaitingUnit& unit,
    const PlacementOptions& options) {
  std::optional<UnitPlacement> fast_first =
      AssignFastFirst(candidates, unit, options);
  std::optional<UnitPlacement> slow =
      AssignMembers(OfTiers(candidates, kFirstSlowTier, 2 * options.slack_class,
                            unit, options),
                    unit);
  if (!slow || (options.keep_whole_workers && fast_first &&
                CountWholeWorkers(candidates, *slow) >
                    CountWholeWorkers(candidates, *fast_first))) {
    return fast_first;
  }
  return slow;
}

std::optional<UnitPlacement> AssignSlowFirst(
    const std::vector<Candidate>& candidates,
    const WaitingUnit& unit,
    const PlacementOptions& options) {
  if (unit.member_count > 1) {
    return AssignGangSlowFirst(candidates, unit, options);
  }
  std::vector<Candidate> with_slack =
      OfTiers(candidates, 0, 2 * options.slack_class, unit, options);
  const auto rank = [&](const Candidate& c) {
    return std::pair(options.keep_whole_workers && IsWhole(*c.worker),
                     -c.worker->SpeedTier());
  };
  std::stable_sort(
      with_slack.begin(), with_slack.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::optional<UnitPlacement> placement = AssignMembers(with_slack, unit);
  return placement ? placement : AssignFastFirst(candidates, unit, options);
}

std::optional<UnitPlacement> Assign(const std::vector<Candidate>& candidates,
                                    const WaitingUnit& unit,
                                    const PlacementOptions& options) {
  std::optional<UnitPlacement> placement;
  switch (options.speed_order) {
    case SpeedOrder::kIgnored:
      placement = AssignMembers(candidates, unit);
      break;
    case SpeedOrder::kFastFirst:
      placement = AssignFastFirst(candidates, unit, options);
      break;
    case SpeedOrder::kSlowFirst:
      placement = AssignSlowFirst(candidates, unit, options);
      break;
  }
  if (placement) {
    placement->speed_order = options.speed_order;
  }
  return placement;
}

std::int64_t FreeAccelerators(const WorkerList& workers) {
  std::int64_t count = 0;
  for (const WorkerCapacity* worker : workers) {
    count += worker->free.accelerators;
  }
  return count;
}

// Racks are preferred in ascending order of it.
std::int32_t SpeedRank(const UnitPlacement& placement,
                       const PlacementOptions& options) {
  switch (options.speed_order) {
    case SpeedOrder::kFastFirst:
      return placement.speed_class;
    case SpeedOrder::kSlowFirst:
      return placement.speed_class <= options.slack_class
                 ? -placement.speed_class
                 : placement.speed_class;
    case SpeedOrder::kIgnored:
      break;
  }
  return 0;
}

std::optional<UnitPlacement> FindPlacementInOneRack(
    const CapacityTable& table,
    const WaitingUnit& unit,
    const PlacementOptions& options) {
  std::optional<UnitPlacement> best;
  std::pair<std::int32_t, std::int64_t> best_rank;
  for (const auto& [rack, workers] : table.workers_by_rack()) {
    std::optional<UnitPlacement> placement =
        Assign(FindCandidates(table, workers, unit, options), unit, options);
    if (!placement) {
      continue;
    }
    const std::pair rank(SpeedRank(*placement, options),
                         FreeAccelerators(workers));
    if (!best || rank < best_rank) {
      best = std::move(placement);
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace

const char* ToString(SpeedOrder order) {
  switch (order) {
    case SpeedOrder::kIgnored:
      break;
    case SpeedOrder::kFastFirst:
      return "fast";
    case SpeedOrder::kSlowFirst:
      return "slow";
  }
  return "any";
}

double CoreEquivalent(const Resources& resources) {
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(resources.cpu_milli) / 1000 +
         kCoresPerAccelerator * static_cast<double>(resources.accelerators);
}

bool MayShare(const WaitingUnit& unit, const WorkerCapacity& worker) {
  if (worker.hosts_trial || !unit.needs_trial) {
    return !worker.hosts_trial;
  }
  // The workers of a gang are never all settled at once. Its crashes are
  // counted by member, which tells enough.
  return worker.planned_tasks.empty() &&
         (worker.is_settled || unit.member_count > 1);
}

std::int32_t MembersThatFit(const WaitingUnit& unit,
                            const WorkerCapacity& worker,
                            const Resources& available) {
  if (!AnyFits(available, unit.member_need) ||
      !HasLabel(*worker.entry, unit.step->required_label) ||
      worker.entry->report.service != unit.job->request.terms.service) {
    return 0;
  }
  std::int32_t fitting_members = std::min(
      {CountThatFit(available.cpu_milli, unit.member_need.cpu_milli),
       CountThatFit(available.memory_mb, unit.member_need.memory_mb),
       CountThatFit(available.accelerators, unit.member_need.accelerators),
       unit.member_count});
  if (unit.step->max_per_worker > 0) {
    fitting_members =
        std::min(fitting_members,
                 unit.step->max_per_worker - TasksOfStepOn(unit, worker));
  }
  return std::max(0, fitting_members);
}

std::optional<UnitPlacement> FindUnitPlacement(
    const CapacityTable& table,
    const WaitingUnit& unit,
    const PlacementOptions& options) {
  if (unit.step->gang && unit.step->same_rack) {
    if (std::optional<UnitPlacement> placement =
            FindPlacementInOneRack(table, unit, options)) {
      return placement;
    }
    if (!options.allow_any_rack) {
      return std::nullopt;
    }
  }
  return Assign(FindCandidates(table, table.workers(), unit, options), unit,
                options);
}

bool FitsInOneRack(const CapacityTable& table, const WaitingUnit& unit) {
  for (const auto& [rack, workers] : table.workers_by_rack()) {
    std::int64_t fitting_members = 0;
    table.CountExamined(workers.size());
    for (const WorkerCapacity* worker : workers) {
      fitting_members +=
          MembersThatFit(unit, *worker, worker->entry->report.capacity);
    }
    if (fitting_members >= unit.member_count) {
      return true;
    }
  }
  return false;
}

bool CanRunInDataRack(const CapacityTable& table, const WaitingUnit& unit) {
  const auto rack = table.workers_by_rack().find(unit.step->data_rack);
  if (rack == table.workers_by_rack().end()) {
    return false;
  }
  table.CountExamined(rack->second.size());
  return std::any_of(rack->second.begin(), rack->second.end(),
                     [&](const WorkerCapacity* worker) {
                       return !worker->is_quarantined &&
                              MembersThatFit(unit, *worker,
                                             worker->entry->report.capacity) >
                                  0;
                     });
}

}  // namespace marjoramplank
