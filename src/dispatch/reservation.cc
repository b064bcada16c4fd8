#include "src/dispatch/reservation.h"

#include <algorithm>

namespace marjoramplank {

namespace {

// Searches for each reservation that a plan may make: gangs that never fit cost
// one without a result.
constexpr std::size_t kSearchesPerReservation = 2;
// Use from which the workers count as busy. The platform demands that no job is
// left with nothing running at less than half.
constexpr double kBusyFraction = 0.6;

const WorkerIncarnation& Id(const WorkerCapacity& worker) {
  return worker.entry->report.incarnation;
}

}  // namespace

bool ReservationPlanner::MayReserve() const {
  return reservations_.size() < options_.max_reservations &&
         searches_ < options_.max_reservations * kSearchesPerReservation;
}

double ReservationPlanner::SlownessOfGang(const LedgerJob& job,
                                          const TaskRef& task) {
  const TaskRef first = FirstTaskOfUnit(job, task);
  const RunUnit& unit = job.UnitOf(first);
  double slowness = 1;
  for (const MemberPlace& m : unit.members) {
    const WorkerCapacity* worker = table_.Find(m.incarnation);
    slowness =
        std::max(slowness, worker == nullptr ? 1 : worker->RunTimeFactor());
  }
  return slowness;
}

Time ReservationPlanner::ExpectedEnd(const TaskRef& task,
                                     const LiveRun& run,
                                     const WorkerCapacity& worker) {
  const LedgerJob* job = ledger_.FindJob(task.job);
  if (run.must_stop || job == nullptr || job->ended()) {
    return now_;
  }
  const JobStep& step = job->request.steps[static_cast<std::size_t>(task.step)];
  if (step.long_running) {
    return kNever;
  }
  const Duration age = now_ - run.first_seen_at;
  const Duration overdue(static_cast<std::int64_t>(
      static_cast<double>(age.count()) * options_.overdue_fraction));
  const Duration run_time =
      step_times_.Of(*job)[static_cast<std::size_t>(task.step)];
  const double slowness = step.gang && table_.HasSlowWorkers()
                              ? SlownessOfGang(*job, task)
                              : worker.RunTimeFactor();
  return now_ + std::max(ScaledBy(slowness, run_time) - age, overdue);
}

const std::vector<Release>& ReservationPlanner::ReleasesOf(
    const WorkerCapacity& worker) {
  const auto [it, is_new] = releases_.try_emplace(&worker);
  if (is_new) {
    it->second = worker.planned_releases;
    for (const auto& [task, run] : worker.entry->runs) {
      it->second.push_back(
          {.at = ExpectedEnd(task, run, worker), .need = run.need});
    }
    std::sort(it->second.begin(), it->second.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
  }
  return it->second;
}

bool ReservationPlanner::IsUsable(const WaitingUnit& unit,
                                  const WorkerCapacity& worker) const {
  if (worker.is_quarantined || worker.hold ||
      unit.unit->failed_on_workers.contains(Id(worker))) {
    return false;
  }
  // Room that the unit could take now, but for these rules, is not worth a wait
  // for faster machines.
  return !table_.HasSlowWorkers() ||
         (MayShare(unit, worker) &&
          !unit.unit->HasCrashed(worker.entry->report.agent));
}

void ReservationPlanner::AppendSlots(const WaitingUnit& unit,
                                     const WorkerCapacity& worker,
                                     std::vector<Slot>& out) {
  if (!IsUsable(unit, worker) ||
      MembersThatFit(unit, worker, worker.entry->report.capacity) == 0) {
    return;
  }
  Resources free = worker.free;
  std::int32_t fitting_members = MembersThatFit(unit, worker, free);
  out.insert(out.end(), static_cast<std::size_t>(fitting_members),
             {.ready_at = now_, .worker = &worker});
  for (const Release& release : ReleasesOf(worker)) {
    if (release.at == kNever) {
      break;
    }
    free += release.need;
    const std::int32_t fitting_then = MembersThatFit(unit, worker, free);
    for (; fitting_members < fitting_then; ++fitting_members) {
      out.push_back({.ready_at = release.at, .worker = &worker});
    }
  }
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::SortedSlots(
    const WorkerList& workers,
    const WaitingUnit& unit,
    std::int32_t max_speed_class) {
  std::vector<Slot> slots;
  table_.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    if (worker->speed_class <= max_speed_class) {
      AppendSlots(unit, *worker, slots);
    }
  }
  std::sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) {
    return a.ready_at != b.ready_at ? a.ready_at < b.ready_at
                                    : Id(*a.worker) < Id(*b.worker);
  });
  return slots;
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::FindSlots(
    const WorkerList& workers,
    const WaitingUnit& gang,
    std::int32_t max_speed_class) {
  std::vector<Slot> slots = SortedSlots(workers, gang, max_speed_class);
  const auto wanted = static_cast<std::size_t>(gang.member_count);
  if (slots.size() < wanted) {
    return {};
  }
  slots.resize(wanted);
  return slots;
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::FindSlotsInOneRack(
    const WaitingUnit& gang,
    std::int32_t max_speed_class) {
  std::vector<Slot> soonest;
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    std::vector<Slot> slots = FindSlots(workers, gang, max_speed_class);
    if (!slots.empty() &&
        (soonest.empty() || slots.back().ready_at < soonest.back().ready_at)) {
      soonest = std::move(slots);
    }
  }
  return soonest;
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::FindSlotsInScope(
    const WaitingUnit& gang,
    ReservationScope scope,
    std::int32_t max_speed_class) {
  if (scope == ReservationScope::kOneRack) {
    return FindSlotsInOneRack(gang, max_speed_class);
  }
  if (scope == ReservationScope::kAnyWorker) {
    return FindSlots(table_.workers(), gang, max_speed_class);
  }
  const auto rack = table_.workers_by_rack().find(gang.step->data_rack);
  return rack == table_.workers_by_rack().end()
             ? std::vector<Slot>()
             : FindSlots(rack->second, gang, max_speed_class);
}

std::optional<Time> ReservationPlanner::Hold(const WaitingUnit& gang,
                                             const std::vector<Slot>& slots) {
  const Time start_at = slots.back().ready_at;
  std::map<WorkerIncarnation, Resources> needs;
  for (const Slot& slot : slots) {
    needs[Id(*slot.worker)] += gang.member_need;
  }
  const auto limit =
      static_cast<std::size_t>(options_.max_reserved_fraction *
                               static_cast<double>(table_.workers().size()));
  if (reserved_workers_ + needs.size() > limit) {
    return std::nullopt;
  }
  for (const auto& [incarnation, need] : needs) {
    WorkerCapacity& worker = *table_.Find(incarnation);
    Resources spare = worker.free - need;
    for (const Release& release : ReleasesOf(worker)) {
      if (release.at <= start_at) {
        spare += release.need;
      }
    }
    worker.hold = {.until = start_at, .spare = spare};
  }
  reserved_workers_ += needs.size();
  return start_at;
}

void ReservationPlanner::Reserve(const WaitingUnit& gang,
                                 ReservationScope scope,
                                 bool starts_anywhere) {
  ++searches_;
  std::vector<Slot> best;
  Time best_end{0};
  for (const auto& [speed_class, factor] : table_.speed_classes()) {
    const bool is_last = speed_class == table_.speed_classes().rbegin()->first;
    if (starts_anywhere && !is_last) {
      continue;
    }
    std::vector<Slot> slots = FindSlotsInScope(gang, scope, speed_class);
    if (slots.empty()) {
      continue;
    }
    const Time end = slots.back().ready_at + ScaledBy(factor, gang.run_time);
    if (best.empty() || end < best_end) {
      best = std::move(slots);
      best_end = end;
    }
  }
  if (best.empty()) {
    return;
  }
  if (const std::optional<Time> start_at = Hold(gang, best)) {
    std::set<WorkerIncarnation> workers;
    for (const Slot& slot : best) {
      workers.insert(Id(*slot.worker));
    }
    reservations_.push_back({.gang = gang.first_task,
                             .start_at = *start_at,
                             .workers = workers.size()});
  }
}

std::optional<Time> ReservationPlanner::HoldBefore(
    const WaitingUnit& gang,
    ReservationScope scope,
    std::int32_t max_speed_class,
    const std::function<bool(Time)>& is_acceptable) {
  const std::vector<Slot> slots =
      FindSlotsInScope(gang, scope, max_speed_class);
  return slots.empty() || !is_acceptable(slots.back().ready_at)
             ? std::nullopt
             : Hold(gang, slots);
}

std::vector<Time> ReservationPlanner::ReadyTimes(const WaitingUnit& unit,
                                                 ReservationScope scope,
                                                 std::int32_t max_speed_class) {
  const bool in_data_rack = scope == ReservationScope::kDataRack;
  const auto rack = table_.workers_by_rack().find(unit.step->data_rack);
  if (in_data_rack && rack == table_.workers_by_rack().end()) {
    return {};
  }
  WaitingUnit all_tasks = unit;
  all_tasks.member_count = unit.step->tasks;
  std::vector<Time> out;
  for (const Slot& slot :
       SortedSlots(in_data_rack ? rack->second : table_.workers(), all_tasks,
                   max_speed_class)) {
    out.push_back(slot.ready_at);
  }
  return out;
}

IdleJobs::IdleJobs(const Ledger& ledger, const CapacityTable& table) {
  double capacity = 0;
  double used = 0;
  for (const WorkerCapacity* worker : table.workers()) {
    capacity += CoreEquivalent(worker->entry->report.capacity);
    used += CoreEquivalent(worker->entry->used);
  }
  is_busy_ = used >= kBusyFraction * capacity;
  if (is_busy_) {
    return;
  }
  for (const auto& [incarnation, worker] : ledger.workers()) {
    for (const auto& [task, run] : worker.runs) {
      running_jobs_.insert(task.job);
    }
  }
}

bool IdleJobs::MayUseReserved(const WaitingUnit& unit) const {
  return unit.step->long_running ||
         (!is_busy_ && !running_jobs_.contains(unit.first_task.job));
}

}  // namespace marjoramplank
