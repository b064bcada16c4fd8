#include "src/dispatch/expected_capacity.h"

#include <algorithm>

namespace marjoramplank {

const std::vector<Release>& ExpectedCapacity::ReleasesOf(
    const WorkerCapacity& worker) {
  const auto [it, is_new] = releases_.try_emplace(&worker);
  std::vector<Release>& out = it->second;
  if (!is_new) {
    return out;
  }
  const Time now = forecast_.now();
  for (const auto& [task, run] : worker.entry->runs) {
    Duration remaining = stop_time_;
    if (!run.must_stop) {
      const LedgerJob* job = forecast_.ledger().FindJob(task.job);
      remaining = job == nullptr || job->ended() ||
                          !forecast_.IsReliable(*job, task, run)
                      ? Duration(kNever)
                      : forecast_.Remaining(*job, *worker.entry, task, run);
    }
    if (remaining != kNever) {
      out.push_back({.at = now + remaining, .need = run.need});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

void ExpectedCapacity::AppendSlots(const WaitingUnit& unit,
                                   const WorkerCapacity& worker) {
  if (worker.is_quarantined || !MayShare(unit, worker) ||
      MembersThatFit(unit, worker, worker.entry->report.capacity) == 0) {
    return;
  }
  Resources free = worker.free;
  if (const auto claim = claims_.find(&worker); claim != claims_.end()) {
    free -= claim->second;
  }
  std::int32_t fitting_members = MembersThatFit(unit, worker, free);
  slots_.insert(slots_.end(), static_cast<std::size_t>(fitting_members),
                {.ready_at = forecast_.now(), .worker = &worker});
  for (const Release& release : ReleasesOf(worker)) {
    free += release.need;
    const std::int32_t fitting_then = MembersThatFit(unit, worker, free);
    for (; fitting_members < fitting_then; ++fitting_members) {
      slots_.push_back({.ready_at = release.at, .worker = &worker});
    }
  }
}

Time ExpectedCapacity::FindSlots(const WaitingUnit& unit,
                                 const WorkerList& workers) {
  slots_.clear();
  table_.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    AppendSlots(unit, *worker);
  }
  const auto wanted = static_cast<std::size_t>(unit.member_count);
  if (slots_.size() < wanted) {
    slots_.clear();
    return kNever;
  }
  std::stable_sort(
      slots_.begin(), slots_.end(),
      [](const auto& a, const auto& b) { return a.ready_at < b.ready_at; });
  slots_.resize(wanted);
  return slots_.back().ready_at;
}

Time ExpectedCapacity::ReadyAt(const WaitingUnit& unit) {
  if (!unit.step->gang || !unit.step->same_rack) {
    return FindSlots(unit, table_.workers());
  }
  Time soonest = kNever;
  std::vector<Slot> slots;
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    const Time ready_at = FindSlots(unit, workers);
    if (ready_at < soonest) {
      soonest = ready_at;
      slots = slots_;
    }
  }
  slots_ = std::move(slots);
  return soonest;
}

void ExpectedCapacity::Claim(const WaitingUnit& unit) {
  for (const Slot& slot : slots_) {
    claims_[slot.worker] += unit.member_need;
  }
  slots_.clear();
}

}  // namespace marjoramplank
