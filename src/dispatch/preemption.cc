#include "src/dispatch/preemption.h"

#include <algorithm>
#include <set>

namespace marjoramplank {

namespace {

// Cores that one accelerator counts as in the cost of lost work.
constexpr double kCoresPerAccelerator = 8;
// Run time lost by stopping a task that saves checkpoints: it saves one more at
// the stop, so only the restart is lost. Twice the longest restore time seen on
// the platform, since the delay of the stop and start records in the ledger
// comes on top.
constexpr double kRestartSeconds = 0.5;

struct Victim {
  TaskRef task;
  Resources need;
  double cost = 0;
};

double CoreEquivalent(const Resources& r) {
  return static_cast<double>(r.cpu_milli) / 1000 +
         kCoresPerAccelerator * static_cast<double>(r.accelerators);
}

// Lists the preemptible runs on a worker by ascending cost.
std::vector<Victim> ListVictims(Time now,
                                const Ledger& ledger,
                                const LedgerWorker& entry,
                                std::int32_t priority) {
  std::vector<Victim> out;
  for (const auto& [task, run] : entry.runs) {
    if (run.must_stop) {
      out.push_back({.task = task, .need = run.need, .cost = 0});
      continue;
    }
    const LedgerJob* job = ledger.FindJob(task.job);
    if (job == nullptr || job->ended() ||
        job->request.terms.priority <= priority ||
        job->request.steps[static_cast<std::size_t>(task.step)].long_running) {
      continue;
    }
    out.push_back({.task = task,
                   .need = run.need,
                   .cost = LostWork(now, ledger, task, run)});
  }
  std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) {
    return a.cost != b.cost ? a.cost < b.cost : a.task < b.task;
  });
  return out;
}

struct PreemptionOption {
  WorkerIncarnation incarnation;
  std::int32_t fitting_members = 0;
  std::vector<TaskRef> victims;
  double cost = 0;
};

// Drops every victim that the members do not need, most expensive first. `free`
// is the worker's free capacity with all victims gone.
void PruneVictims(const WaitingUnit& unit,
                  const WorkerCapacity& worker,
                  Resources free,
                  std::int32_t fitting_members,
                  std::vector<Victim>& victims) {
  for (std::size_t n = victims.size(); n > 0; --n) {
    const Resources free_without_victim = free - victims[n - 1].need;
    if (std::min(unit.member_count,
                 MembersThatFit(unit, worker, free_without_victim)) >=
        fitting_members) {
      free = free_without_victim;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(n - 1));
    }
  }
}

// Selects few victims on one worker so that up to `wanted_members` fit.
PreemptionOption FindVictimsOnWorker(Time now,
                                     const Ledger& ledger,
                                     const WorkerCapacity& worker,
                                     const WaitingUnit& unit,
                                     std::int32_t wanted_members) {
  PreemptionOption out{.incarnation = worker.entry->report.incarnation};
  Resources free = worker.free;
  out.fitting_members =
      std::min(wanted_members, MembersThatFit(unit, worker, free));
  std::vector<Victim> pending;
  std::vector<Victim> chosen;
  Resources free_with_chosen = free;
  for (const Victim& victim : ListVictims(now, ledger, *worker.entry,
                                          unit.job->request.terms.priority)) {
    if (out.fitting_members >= wanted_members) {
      break;
    }
    free += victim.need;
    pending.push_back(victim);
    const std::int32_t fitting_members =
        std::min(wanted_members, MembersThatFit(unit, worker, free));
    if (fitting_members > out.fitting_members) {
      out.fitting_members = fitting_members;
      free_with_chosen = free;
      chosen.insert(chosen.end(), pending.begin(), pending.end());
      pending.clear();
    }
  }
  PruneVictims(unit, worker, free_with_chosen, out.fitting_members, chosen);
  for (const Victim& victim : chosen) {
    out.victims.push_back(victim.task);
    out.cost += victim.cost;
  }
  return out;
}

std::optional<UnitPlacement> FindVictimsOnWorkers(
    Time now,
    const Ledger& ledger,
    const CapacityTable& table,
    const std::vector<WorkerIncarnation>& workers,
    const WaitingUnit& unit) {
  std::vector<PreemptionOption> options;
  table.CountExamined(workers.size());
  for (const WorkerIncarnation& incarnation : workers) {
    const WorkerCapacity& worker = table.workers().at(incarnation);
    if (worker.is_quarantined) {
      continue;
    }
    PreemptionOption option =
        FindVictimsOnWorker(now, ledger, worker, unit, unit.member_count);
    if (option.fitting_members > 0) {
      options.push_back(std::move(option));
    }
  }
  std::sort(options.begin(), options.end(),
            [](const PreemptionOption& a, const PreemptionOption& b) {
              const double a_cost = a.cost / a.fitting_members;
              const double b_cost = b.cost / b.fitting_members;
              return a_cost != b_cost ? a_cost < b_cost
                                      : a.incarnation < b.incarnation;
            });
  UnitPlacement placement;
  std::int32_t index = unit.first_task.index;
  for (PreemptionOption& option : options) {
    const std::int32_t remaining_members =
        unit.member_count - static_cast<std::int32_t>(placement.members.size());
    if (remaining_members == 0) {
      break;
    }
    if (option.fitting_members > remaining_members) {
      option = FindVictimsOnWorker(now, ledger,
                                   table.workers().at(option.incarnation), unit,
                                   remaining_members);
    }
    for (std::int32_t n = 0;
         n < std::min(option.fitting_members, remaining_members); ++n) {
      placement.members.push_back(
          {.index = index++, .incarnation = option.incarnation});
    }
    placement.victims.insert(placement.victims.end(), option.victims.begin(),
                             option.victims.end());
    placement.cost += option.cost;
  }
  if (static_cast<std::int32_t>(placement.members.size()) < unit.member_count) {
    return std::nullopt;
  }
  return placement;
}

}  // namespace

double LostWork(Time now,
                const Ledger& ledger,
                const TaskRef& task,
                const LiveRun& run) {
  const LedgerJob* job = ledger.FindJob(task.job);
  if (job == nullptr || job->ended()) {
    return 0;
  }
  const JobStep& step = job->request.steps[static_cast<std::size_t>(task.step)];
  double seconds = ToSeconds(now - run.first_seen_at);
  if (step.checkpoints) {
    seconds = std::min(seconds, kRestartSeconds);
  }
  const int members = step.gang ? step.tasks : 1;
  return seconds * CoreEquivalent(step.need) * members;
}

std::optional<UnitPlacement> FindPreemption(Time now,
                                            const Ledger& ledger,
                                            const CapacityTable& table,
                                            const WaitingUnit& unit,
                                            bool allow_any_rack) {
  std::optional<UnitPlacement> best;
  if (!allow_any_rack) {
    for (const auto& [rack, workers] : table.workers_by_rack()) {
      std::optional<UnitPlacement> placement =
          FindVictimsOnWorkers(now, ledger, table, workers, unit);
      if (placement && (!best || placement->cost < best->cost)) {
        best = std::move(placement);
      }
    }
    return best;
  }
  std::vector<WorkerIncarnation> all_workers;
  for (const auto& [incarnation, worker] : table.workers()) {
    all_workers.push_back(incarnation);
  }
  return FindVictimsOnWorkers(now, ledger, table, all_workers, unit);
}

}  // namespace marjoramplank
