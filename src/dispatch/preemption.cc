#include "src/dispatch/preemption.h"

#include <algorithm>
#include <tuple>

namespace marjoramplank {

namespace {

// Run time lost by stopping a task that saves checkpoints: it saves one more at
// the stop, so only the restart is lost. Twice the longest restore time seen on
// the platform, since the delay of the stop and start records in the ledger
// comes on top.
constexpr double kRestartSeconds = 0.5;

}  // namespace

struct PreemptionSearch::Option {
  const WorkerCapacity* worker = nullptr;
  std::int32_t fitting_members = 0;
  std::vector<const Victim*> victims;
  std::int32_t urgent_victims = 0;
  double cost = 0;
};

PreemptionSearch::Rank PreemptionSearch::RankOf(const WaitingUnit& unit) {
  return {.priority = unit.job->request.terms.priority,
          .is_guaranteed = unit.is_guaranteed};
}

bool PreemptionSearch::MayPreempt(const Rank& rank,
                                  const LedgerJob& job,
                                  const JobStep& step) const {
  // Priority alone takes nothing back from a guarantee: it belongs to the
  // account's jobs of priority 0, and what others use of it is lent.
  const bool ranks_higher = job.request.terms.priority > rank.priority;
  const bool takes_back =
      rank.is_guaranteed && !guaranteed_jobs_.contains(job.request.id);
  if (!ranks_higher && !takes_back) {
    return false;
  }
  // A long-running task does not end by itself: without a preemption, it would
  // keep the accelerators of a guarantee for good.
  return !step.long_running || (rank.is_guaranteed && !step.max_unavailable);
}

PreemptionSearch::VictimList PreemptionSearch::ListVictims(
    const LedgerWorker& entry,
    const Rank& rank) const {
  VictimList out;
  for (const auto& [task, run] : entry.runs) {
    double cost = 0;  // Of a run that is stopping already.
    bool is_urgent = false;
    if (!run.must_stop) {
      const LedgerJob* job = ledger_.FindJob(task.job);
      if (job == nullptr || job->ended() ||
          !MayPreempt(
              rank, *job,
              job->request.steps[static_cast<std::size_t>(task.step)])) {
        continue;
      }
      cost = LostWork(now_, ledger_, task, run);
      is_urgent = job->request.terms.priority <= rank.priority;
    }
    out.victims.push_back(
        {.task = task, .need = run.need, .is_urgent = is_urgent, .cost = cost});
    out.total += run.need;
  }
  std::sort(out.victims.begin(), out.victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.is_urgent, a.cost, a.task) <
                     std::tie(b.is_urgent, b.cost, b.task);
            });
  return out;
}

const PreemptionSearch::VictimList& PreemptionSearch::VictimsOn(
    const WorkerCapacity& worker,
    const Rank& rank) {
  const auto [it, is_new] = victims_.try_emplace({&worker, rank});
  if (is_new) {
    it->second = ListVictims(*worker.entry, rank);
  }
  return it->second;
}

// Drops every victim that the members do not need, most expensive first. `free`
// is the worker's free capacity with all victims gone.
void PreemptionSearch::PruneVictims(const WaitingUnit& unit,
                                    const WorkerCapacity& worker,
                                    Resources free,
                                    std::int32_t fitting_members,
                                    std::vector<const Victim*>& victims) {
  for (std::size_t n = victims.size(); n > 0; --n) {
    const Resources free_without_victim = free - victims[n - 1]->need;
    if (std::min(unit.member_count,
                 MembersThatFit(unit, worker, free_without_victim)) >=
        fitting_members) {
      free = free_without_victim;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(n - 1));
    }
  }
}

// Selects few victims on one worker so that up to `wanted_members` fit.
PreemptionSearch::Option PreemptionSearch::FindOnWorker(
    const WorkerCapacity& worker,
    const WaitingUnit& unit,
    std::int32_t wanted_members) {
  Option out;
  out.worker = &worker;
  const VictimList& list = VictimsOn(worker, RankOf(unit));
  if (MembersThatFit(unit, worker, worker.free + list.total) == 0) {
    return out;
  }
  Resources free = worker.free;
  out.fitting_members =
      std::min(wanted_members, MembersThatFit(unit, worker, free));
  std::vector<const Victim*> pending;
  Resources free_with_chosen = free;
  for (const Victim& victim : list.victims) {
    if (out.fitting_members >= wanted_members) {
      break;
    }
    free += victim.need;
    pending.push_back(&victim);
    const std::int32_t fitting_members =
        std::min(wanted_members, MembersThatFit(unit, worker, free));
    if (fitting_members > out.fitting_members) {
      out.fitting_members = fitting_members;
      free_with_chosen = free;
      out.victims.insert(out.victims.end(), pending.begin(), pending.end());
      pending.clear();
    }
  }
  PruneVictims(unit, worker, free_with_chosen, out.fitting_members,
               out.victims);
  for (const Victim* victim : out.victims) {
    out.cost += victim->cost;
    out.urgent_victims += victim->is_urgent ? 1 : 0;
  }
  return out;
}

std::optional<UnitPlacement> PreemptionSearch::FindOnWorkers(
    const WorkerList& workers,
    const WaitingUnit& unit,
    std::int32_t max_speed_class) {
  std::vector<Option> options;
  table_.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    if (worker->is_quarantined || worker->speed_class > max_speed_class ||
        !MayShare(unit, *worker)) {
      continue;
    }
    Option option = FindOnWorker(*worker, unit, unit.member_count);
    if (option.fitting_members > 0) {
      options.push_back(std::move(option));
    }
  }
  const auto id = [](const Option& o) -> const WorkerIncarnation& {
    return o.worker->entry->report.incarnation;
  };
  std::sort(options.begin(), options.end(),
            [&](const Option& a, const Option& b) {
              const double a_cost = a.cost / a.fitting_members;
              const double b_cost = b.cost / b.fitting_members;
              return std::tie(a.urgent_victims, a_cost, id(a)) <
                     std::tie(b.urgent_victims, b_cost, id(b));
            });
  UnitPlacement placement;
  std::int32_t index = unit.first_task.index;
  for (Option& option : options) {
    const std::int32_t remaining_members =
        unit.member_count - static_cast<std::int32_t>(placement.members.size());
    if (remaining_members == 0) {
      break;
    }
    if (option.fitting_members > remaining_members) {
      option = FindOnWorker(*option.worker, unit, remaining_members);
    }
    for (std::int32_t n = 0;
         n < std::min(option.fitting_members, remaining_members); ++n) {
      placement.members.push_back(
          {.index = index++, .incarnation = id(option)});
    }
    for (const Victim* victim : option.victims) {
      placement.victims.push_back(victim->task);
    }
    placement.cost += option.cost;
    placement.urgent_victims += option.urgent_victims;
  }
  if (static_cast<std::int32_t>(placement.members.size()) < unit.member_count) {
    return std::nullopt;
  }
  return placement;
}

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

std::optional<UnitPlacement> PreemptionSearch::Find(
    const WaitingUnit& unit,
    bool allow_any_rack,
    std::int32_t max_speed_class) {
  if (allow_any_rack) {
    return FindOnWorkers(table_.workers(), unit, max_speed_class);
  }
  std::optional<UnitPlacement> best;
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    std::optional<UnitPlacement> placement =
        FindOnWorkers(workers, unit, max_speed_class);
    if (placement &&
        (!best || std::tie(placement->urgent_victims, placement->cost) <
                      std::tie(best->urgent_victims, best->cost))) {
      best = std::move(placement);
    }
  }
  return best;
}

}  // namespace marjoramplank
