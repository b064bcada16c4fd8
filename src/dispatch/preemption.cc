#include "src/dispatch/preemption.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marjoramplank {

namespace {

// Run time lost by stopping a task that saves checkpoints: it saves one more at
// the stop, so only the restart is lost. Twice the longest restore time seen on
// the platform, since the delay of the stop and start records in the ledger
// comes on top.
constexpr Duration kRestartTime{500};

// Costs within this factor count as equal: fewer victims are preferred then.
constexpr double kSimilarCostFactor = 1.2;

// Costs of less than a core-second are equal.
int CostClass(double cost) {
  return cost <= 1 ? 0
                   : 1 + static_cast<int>(std::log(cost) /
                                          std::log(kSimilarCostFactor));
}

// True if `count` members fit by their resources. What a member does not need
// may be short.
bool Fits(const Resources& need, std::int32_t count, const Resources& free) {
  const auto fits = [count](std::int64_t needed, std::int64_t available) {
    return needed <= 0 || needed * count <= available;
  };
  return fits(need.cpu_milli, free.cpu_milli) &&
         fits(need.memory_mb, free.memory_mb) &&
         fits(need.accelerators, free.accelerators);
}

const WorkerIncarnation& Id(const WorkerCapacity& worker) {
  return worker.entry->report.incarnation;
}

}  // namespace

const char* ToString(PreemptionVerdict verdict) {
  switch (verdict) {
    case PreemptionVerdict::kAccepted:
      return "accepted";
    case PreemptionVerdict::kNoVictims:
      return "no_victims";
    case PreemptionVerdict::kNoCredit:
      return "no_credit";
    case PreemptionVerdict::kTooManyStops:
      return "too_many_stops";
    case PreemptionVerdict::kCostLimit:
      return "cost_limit";
    case PreemptionVerdict::kCanWait:
      return "can_wait";
    case PreemptionVerdict::kLossTooHigh:
      return "loss_too_high";
  }
  return "unknown";
}

// Capacity for some of the unit's members on one worker.
struct PreemptionSearch::Option {
  const WorkerCapacity* worker = nullptr;
  std::int32_t fitting_members = 0;
  Victims victims;
  std::int32_t urgent_victims = 0;
  double cost = 0;

  int cost_class = 0;  // Of the cost of a member.

  // Better options for a member come first.
  auto Key() const {
    const double members = std::max(fitting_members, 1);
    return std::tuple(urgent_victims, cost_class,
                      static_cast<double>(victims.size()) / members,
                      cost / members);
  }
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

bool PreemptionSearch::IsSpared(const LiveRun& run, const RunUnit& unit) const {
  return unit.displacements >= policy_.max_displacements ||
         (unit.displacements > 0 && forecast_.now() - run.first_seen_at <
                                        policy_.min_run_after_displacement);
}

double PreemptionSearch::CostOf(const Victim& victim) {
  return victim.lost_work * value_.CreditWeight(*victim.job) +
         value_.CreditLoss(*victim.job, *victim.task, victim.remaining);
}

void PreemptionSearch::AppendVictim(const LedgerWorker& entry,
                                    const TaskRef& task,
                                    const LiveRun& run,
                                    const Rank& rank,
                                    VictimList& out) {
  if (run.must_stop) {
    out.ending += run.need;
    return;
  }
  const LedgerJob* job = forecast_.ledger().FindJob(task.job);
  if (job == nullptr || job->ended()) {
    return;
  }
  const auto step = static_cast<std::size_t>(task.step);
  if (!MayPreempt(rank, *job, job->request.steps[step])) {
    return;
  }
  const RunUnit& unit = job->UnitOf(FirstTaskOfUnit(*job, task));
  out.total += run.need;
  // The members of a gang follow each other.
  if (!out.victims.empty() && out.victims.back().unit == &unit) {
    out.victims.back().need += run.need;
    return;
  }
  Victim victim{.task = &task,
                .job = job,
                .unit = &unit,
                .need = run.need,
                .is_urgent = job->request.terms.priority <= rank.priority,
                .lost_work = LostWork(forecast_, *job, entry, task, run)};
  victim.remaining =
      unit.members.size() > 1
          ? forecast_.RemainingOfUnit(*job, FirstTaskOfUnit(*job, task), unit)
          : forecast_.Remaining(*job, entry, task, run);
  if (!rank.is_guaranteed) {
    if (victim.remaining <= policy_.stop_time &&
        forecast_.IsReliable(*job, task, run)) {
      out.total -= run.need;
      out.ending += run.need;
      return;
    }
    if (IsSpared(run, unit)) {
      out.total -= run.need;
      return;
    }
  }
  victim.cost = CostOf(victim);
  out.victims.push_back(victim);
}

PreemptionSearch::VictimList PreemptionSearch::ListVictims(
    const LedgerWorker& entry,
    const Rank& rank) {
  VictimList out;
  for (const auto& [task, run] : entry.runs) {
    AppendVictim(entry, task, run, rank, out);
  }
  std::sort(out.victims.begin(), out.victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.is_urgent, a.cost, *a.task) <
                     std::tie(b.is_urgent, b.cost, *b.task);
            });
  out.has_one_size = std::all_of(
      out.victims.begin(), out.victims.end(),
      [&](const Victim& v) { return v.need == out.victims[0].need; });
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
                                    Resources free,
                                    std::int32_t fitting_members,
                                    Victims& victims) {
  for (std::size_t n = victims.size(); n > 0; --n) {
    const Resources free_without_victim = free - victims[n - 1]->need;
    if (Fits(unit.member_need, fitting_members, free_without_victim)) {
      free = free_without_victim;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(n - 1));
    }
  }
}

// Selects few victims, from the first candidates on, so that up to
// `wanted_members` fit.
PreemptionSearch::Option PreemptionSearch::SelectOnWorker(
    const WorkerCapacity& worker,
    const WaitingUnit& unit,
    std::int32_t wanted_members,
    const Resources& free,
    Victims candidates) {
  Option out;
  out.worker = &worker;
  Resources free_with_pending = free;
  Resources free_with_chosen = free;
  std::size_t chosen = 0;
  for (std::size_t n = 0;; ++n) {
    while (out.fitting_members < wanted_members &&
           Fits(unit.member_need, out.fitting_members + 1, free_with_pending)) {
      ++out.fitting_members;
      free_with_chosen = free_with_pending;
      chosen = n;
    }
    if (n == candidates.size() || out.fitting_members == wanted_members) {
      break;
    }
    free_with_pending += candidates[n]->need;
  }
  candidates.resize(chosen);
  PruneVictims(unit, free_with_chosen, out.fitting_members, candidates);
  out.victims = std::move(candidates);
  for (const Victim* victim : out.victims) {
    out.cost += victim->cost;
    out.urgent_victims += victim->is_urgent ? 1 : 0;
  }
  out.cost_class = CostClass(out.cost / std::max(out.fitting_members, 1));
  return out;
}

PreemptionSearch::Option PreemptionSearch::FindOnWorker(
    const WorkerCapacity& worker,
    const WaitingUnit& unit,
    std::int32_t wanted_members) {
  const Rank rank = RankOf(unit);
  const VictimList& list = VictimsOn(worker, rank);
  Resources free = worker.free + list.ending;
  wanted_members =
      std::min(wanted_members, MembersThatFit(unit, worker, free + list.total));
  if (wanted_members == 0) {
    Option none;
    none.worker = &worker;
    return none;
  }
  Victims candidates;
  candidates.reserve(list.victims.size());
  for (const Victim& victim : list.victims) {
    if (IsChosen(victim)) {
      free += victim.need;
    } else {
      candidates.push_back(&victim);
    }
  }
  if (!rank.is_guaranteed &&
      stops_beyond_guarantees_ >= policy_.max_stops_per_plan) {
    has_hit_stop_limit_ |= !candidates.empty();
    candidates.clear();
  }
  const auto select = [&](std::int32_t wanted) {
    Option out = SelectOnWorker(worker, unit, wanted, free, candidates);
    if (out.victims.size() < 2 || list.has_one_size) {
      return out;
    }
    // One large victim may do instead of several small ones.
    Victims by_size = candidates;
    std::stable_sort(
        by_size.begin(), by_size.end(), [](const Victim* a, const Victim* b) {
          return std::tie(a->is_urgent, b->need.accelerators,
                          b->need.cpu_milli) < std::tie(b->is_urgent,
                                                        a->need.accelerators,
                                                        a->need.cpu_milli);
        });
    Option fewer =
        SelectOnWorker(worker, unit, wanted, free, std::move(by_size));
    return fewer.fitting_members >= out.fitting_members &&
                   fewer.Key() < out.Key()
               ? fewer
               : out;
  };
  Option out = select(wanted_members);
  while (!rank.is_guaranteed && out.fitting_members > 0 &&
         std::ssize(out.victims) >
             out.fitting_members * policy_.max_stops_per_member) {
    has_hit_stop_limit_ = true;
    if (out.fitting_members == 1) {
      out = {};
      out.worker = &worker;
      break;
    }
    out = select(out.fitting_members - 1);
  }
  return out;
}

std::vector<PreemptionSearch::Option> PreemptionSearch::FindOptions(
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
  return options;
}

void PreemptionSearch::UpdateOptions(const WaitingUnit& unit,
                                     const Victims& chosen,
                                     std::vector<Option>::iterator begin,
                                     std::vector<Option>::iterator end) {
  std::set<WorkerIncarnation> workers;
  for (const Victim* victim : chosen) {
    for (const MemberPlace& m : victim->unit->members) {
      workers.insert(m.incarnation);
    }
  }
  for (auto it = begin; it != end; ++it) {
    if (workers.contains(Id(*it->worker))) {
      *it = FindOnWorker(*it->worker, unit, unit.member_count);
    }
  }
}

void PreemptionSearch::DropUnneeded(const WaitingUnit& unit,
                                    std::vector<Option>& picks) {
  const Rank rank = RankOf(unit);
  std::vector<Resources> free;
  Victims chosen;
  for (const Option& pick : picks) {
    const VictimList& list = VictimsOn(*pick.worker, rank);
    free.push_back(pick.worker->free + list.ending);
    for (const Victim& victim : list.victims) {
      if (IsChosen(victim)) {
        free.back() += victim.need;
      }
    }
    chosen.insert(chosen.end(), pick.victims.begin(), pick.victims.end());
  }
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return std::tie(b->is_urgent, b->cost, *b->task) <
           std::tie(a->is_urgent, a->cost, *a->task);
  });
  for (const Victim* victim : chosen) {
    std::vector<Resources> without = free;
    bool is_needed = false;
    for (std::size_t p = 0; p < picks.size(); ++p) {
      for (const Victim& v : VictimsOn(*picks[p].worker, rank).victims) {
        if (v.unit == victim->unit) {
          without[p] -= v.need;
          is_needed |= MembersThatFit(unit, *picks[p].worker, without[p]) <
                       picks[p].fitting_members;
        }
      }
    }
    if (!is_needed) {
      free = std::move(without);
      chosen_.erase(victim->unit);
    }
  }
}

UnitPlacement PreemptionSearch::MakePlacement(
    const WaitingUnit& unit,
    const std::vector<Option>& picks) const {
  UnitPlacement placement;
  std::int32_t index = unit.first_task.index;
  for (const Option& pick : picks) {
    for (std::int32_t n = 0; n < pick.fitting_members; ++n) {
      placement.members.push_back(
          {.index = index++, .incarnation = Id(*pick.worker)});
    }
    for (const Victim* victim : pick.victims) {
      if (chosen_.contains(victim->unit)) {
        placement.victims.push_back(
            FirstTaskOfUnit(*victim->job, *victim->task));
        placement.cost += victim->lost_work;
        placement.urgent_victims += victim->is_urgent ? 1 : 0;
      }
    }
  }
  return placement;
}

std::optional<UnitPlacement> PreemptionSearch::FindOnWorkers(
    const WorkerList& workers,
    const WaitingUnit& unit,
    std::int32_t max_speed_class) {
  chosen_.clear();
  std::vector<Option> options = FindOptions(workers, unit, max_speed_class);
  const auto is_better = [](const Option& a, const Option& b) {
    const auto a_key = a.Key();
    const auto b_key = b.Key();
    return a_key != b_key ? a_key < b_key : Id(*a.worker) < Id(*b.worker);
  };
  std::sort(options.begin(), options.end(), is_better);
  std::vector<Option> picks;
  std::int32_t remaining_members = unit.member_count;
  for (auto it = options.begin(); it != options.end() && remaining_members > 0;
       ++it) {
    if (it->fitting_members > remaining_members) {
      *it = FindOnWorker(*it->worker, unit, remaining_members);
    }
    if (it->fitting_members == 0) {
      continue;
    }
    remaining_members -= it->fitting_members;
    bool has_gang = false;
    for (const Victim* victim : it->victims) {
      chosen_.insert(victim->unit);
      has_gang |= victim->unit->members.size() > 1;
    }
    if (has_gang && remaining_members > 0) {
      UpdateOptions(unit, it->victims, std::next(it), options.end());
      std::sort(std::next(it), options.end(), is_better);
    }
    picks.push_back(*it);
  }
  if (remaining_members > 0) {
    return std::nullopt;
  }
  DropUnneeded(unit, picks);
  return MakePlacement(unit, picks);
}

double LostWork(RunForecast& forecast,
                const LedgerJob& job,
                const LedgerWorker& worker,
                const TaskRef& task,
                const LiveRun& run) {
  const JobStep& step = job.request.steps[static_cast<std::size_t>(task.step)];
  Duration lost = forecast.WorkDone(job, worker, task, run);
  if (step.checkpoints) {
    lost = std::min(lost, kRestartTime);
  }
  const int members = step.gang ? step.tasks : 1;
  return ToSeconds(lost) * CoreEquivalent(step.need) * members;
}

std::optional<UnitPlacement> PreemptionSearch::Find(
    const WaitingUnit& unit,
    bool allow_any_rack,
    std::int32_t max_speed_class) {
  if (allow_any_rack) {
    return FindOnWorkers(table_.workers(), unit, max_speed_class);
  }
  const auto key = [](const UnitPlacement& p) {
    return std::tuple(p.urgent_victims, CostClass(p.cost), p.victims.size(),
                      p.cost);
  };
  std::optional<UnitPlacement> best;
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    std::optional<UnitPlacement> placement =
        FindOnWorkers(workers, unit, max_speed_class);
    if (placement && (!best || key(*placement) < key(*best))) {
      best = std::move(placement);
    }
  }
  return best;
}

void PreemptionSearch::MarkStopped(const TaskRef& first, bool is_guaranteed) {
  const LedgerJob* job = forecast_.ledger().FindJob(first.job);
  if (job == nullptr || job->ended()) {
    return;
  }
  stopped_.insert(&job->UnitOf(first));
  stops_beyond_guarantees_ += is_guaranteed ? 0 : 1;
}

double PreemptionSearch::LossOf(const UnitPlacement& placement) {
  double loss = 0;
  // A job loses its credit once, however many of its units are stopped.
  std::map<std::pair<std::string, std::int32_t>, double> lost_credit;
  for (const TaskRef& first : placement.victims) {
    const LedgerJob& job = *forecast_.ledger().FindJob(first.job);
    const RunUnit& unit = job.UnitOf(first);
    double& credit = lost_credit[{first.job, first.occurrence}];
    credit = std::max(
        credit, value_.CreditLoss(job, first,
                                  forecast_.RemainingOfUnit(job, first, unit)));
    for (const MemberPlace& m : unit.members) {
      TaskRef task = first;
      task.index = m.index;
      const LedgerWorker* worker = forecast_.ledger().FindWorker(m.incarnation);
      const auto run = worker->runs.find(task);
      if (run != worker->runs.end()) {
        loss += value_.CreditWeight(job) *
                LostWork(forecast_, job, *worker, task, run->second) /
                static_cast<double>(unit.members.size());
      }
    }
  }
  for (const auto& [job, credit] : lost_credit) {
    loss += credit;
  }
  return loss;
}

PreemptionDecision PreemptionSearch::Weigh(const WaitingUnit& unit,
                                           UnitPlacement placement,
                                           Time later) {
  PreemptionDecision out{.placement = std::move(placement)};
  out.gain = value_.GainOf(unit, forecast_.now() + policy_.stop_time, later);
  out.loss = LossOf(out.placement);
  if (out.gain <= out.loss) {
    out.verdict = PreemptionVerdict::kLossTooHigh;
  }
  return out;
}

PreemptionDecision PreemptionSearch::Decide(const WaitingUnit& unit,
                                            double cost_limit) {
  const Shape shape = ShapeOf(unit);
  if (const auto refused = refused_.find(shape); refused != refused_.end()) {
    return {.verdict = refused->second};
  }
  PreemptionDecision out = Search(unit, cost_limit);
  const bool is_final = out.verdict == PreemptionVerdict::kNoVictims ||
                        out.verdict == PreemptionVerdict::kTooManyStops;
  if (is_final && unit.step->max_per_worker == 0 && !unit.needs_trial) {
    refused_.emplace(shape, out.verdict);
  }
  return out;
}

PreemptionSearch::Shape PreemptionSearch::ShapeOf(const WaitingUnit& unit) {
  return {RankOf(unit),
          unit.member_need.cpu_milli,
          unit.member_need.memory_mb,
          unit.member_need.accelerators,
          unit.member_count,
          unit.step->gang && unit.step->same_rack,
          unit.job->request.terms.service,
          unit.step->required_label};
}

PreemptionDecision PreemptionSearch::Search(const WaitingUnit& unit,
                                            double cost_limit) {
  PreemptionDecision out;
  has_hit_stop_limit_ = false;
  std::optional<UnitPlacement> placement;
  if (unit.step->gang && unit.step->same_rack) {
    placement = Find(unit, /*allow_any_rack=*/false);
  }
  if (!placement) {
    placement = Find(unit, /*allow_any_rack=*/true);
  }
  if (!placement) {
    out.verdict = has_hit_stop_limit_ ? PreemptionVerdict::kTooManyStops
                                      : PreemptionVerdict::kNoVictims;
    return out;
  }
  out.placement = std::move(*placement);
  if (unit.is_guaranteed || out.placement.victims.empty()) {
    return out;
  }
  const auto stops = static_cast<std::int32_t>(out.placement.victims.size());
  if (unit.outlook == DeadlineOutlook::kNoCredit) {
    out.verdict = PreemptionVerdict::kNoCredit;
    return out;
  }
  if (stops > policy_.max_stops_per_member * unit.member_count ||
      stops_beyond_guarantees_ + stops > policy_.max_stops_per_plan) {
    out.verdict = PreemptionVerdict::kTooManyStops;
    return out;
  }
  if (out.placement.cost > cost_limit) {
    out.verdict = PreemptionVerdict::kCostLimit;
    return out;
  }
  const Time now = forecast_.now();
  const Time ready_at = capacity_.ReadyAt(unit);
  const Time later = ready_at == kNever
                         ? kNever
                         : now + Scale(ready_at - now, policy_.wait_margin);
  out.gain = value_.GainOf(unit, now + policy_.stop_time, later);
  out.loss = LossOf(out.placement);
  if (out.gain <= 0) {
    out.verdict = PreemptionVerdict::kCanWait;
    capacity_.Claim(unit);
  } else if (out.gain <= out.loss) {
    out.verdict = PreemptionVerdict::kLossTooHigh;
  }
  return out;
}

}  // namespace marjoramplank
