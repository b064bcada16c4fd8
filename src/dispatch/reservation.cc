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
  const RunUnit& unit =
      job.occurrences[static_cast<std::size_t>(first.occurrence)]
                     [static_cast<std::size_t>(first.step)]
                         .units[static_cast<std::size_t>(first.index)];
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

void ReservationPlanner::AppendSlots(const WaitingUnit& gang,
                                     const WorkerCapacity& worker,
                                     std::vector<Slot>& out) {
  if (worker.is_quarantined || worker.hold ||
      gang.unit->failed_on_workers.contains(Id(worker)) ||
      MembersThatFit(gang, worker, worker.entry->report.capacity) == 0) {
    return;
  }
  Resources free = worker.free;
  std::int32_t fitting_members = MembersThatFit(gang, worker, free);
  out.insert(out.end(), static_cast<std::size_t>(fitting_members),
             {.ready_at = now_, .worker = &worker});
  for (const Release& release : ReleasesOf(worker)) {
    if (release.at == kNever) {
      break;
    }
    free += release.need;
    const std::int32_t fitting_then = MembersThatFit(gang, worker, free);
    for (; fitting_members < fitting_then; ++fitting_members) {
      out.push_back({.ready_at = release.at, .worker = &worker});
    }
  }
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::FindSlots(
    const WorkerList& workers,
    const WaitingUnit& gang) {
  std::vector<Slot> slots;
  table_.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    AppendSlots(gang, *worker, slots);
  }
  const auto wanted = static_cast<std::size_t>(gang.member_count);
  if (slots.size() < wanted) {
    return {};
  }
  std::sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) {
    return a.ready_at != b.ready_at ? a.ready_at < b.ready_at
                                    : Id(*a.worker) < Id(*b.worker);
  });
  slots.resize(wanted);
  return slots;
}

std::vector<ReservationPlanner::Slot> ReservationPlanner::FindSlotsInOneRack(
    const WaitingUnit& gang) {
  std::vector<Slot> soonest;
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    std::vector<Slot> slots = FindSlots(workers, gang);
    if (!slots.empty() &&
        (soonest.empty() || slots.back().ready_at < soonest.back().ready_at)) {
      soonest = std::move(slots);
    }
  }
  return soonest;
}

void ReservationPlanner::Hold(const WaitingUnit& gang,
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
    return;
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
  reservations_.push_back(
      {.gang = gang.first_task, .start_at = start_at, .workers = needs.size()});
}

void ReservationPlanner::Reserve(const WaitingUnit& gang,
                                 ReservationScope scope) {
  ++searches_;
  std::vector<Slot> slots;
  if (scope == ReservationScope::kOneRack) {
    slots = FindSlotsInOneRack(gang);
  } else if (scope == ReservationScope::kAnyWorker) {
    slots = FindSlots(table_.workers(), gang);
  } else if (const auto rack =
                 table_.workers_by_rack().find(gang.step->data_rack);
             rack != table_.workers_by_rack().end()) {
    slots = FindSlots(rack->second, gang);
  }
  if (!slots.empty()) {
    Hold(gang, slots);
  }
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
