#include "src/dispatch/fast_wait.h"

#include <algorithm>

namespace marjoramplank {

namespace {

ReservationScope ScopeOf(const WaitingUnit& unit, bool is_remote) {
  if (!is_remote && unit.step->gang && unit.step->same_rack) {
    return ReservationScope::kOneRack;
  }
  return is_remote || unit.step->data_rack.empty()
             ? ReservationScope::kAnyWorker
             : ReservationScope::kDataRack;
}

}  // namespace

bool FastWait::TakeWaitOfStep(const WaitingUnit& unit) {
  const auto it = waits_of_steps_.find(FirstTaskOfStep(unit.first_task));
  if (it == waits_of_steps_.end() || it->second == 0) {
    return false;
  }
  --it->second;
  return true;
}

bool FastWait::MayAwaitStops(const WaitingUnit& unit, bool is_new) const {
  const Duration delay = is_new ? options_.stop_time : Duration(0);
  const Duration wait = unit.planned_at + delay - unit.due_at;
  const Duration limit =
      is_new ? options_.guaranteed_limit : options_.urgent_limit;
  return (!unit.is_guaranteed || !unit.step->after.empty() || wait <= limit) &&
         (wait <= options_.idle_limit || !idle_jobs_.MayUseReserved(unit)) &&
         OutlookAt(unit, delay, 1) == DeadlineOutlook::kOnTime;
}

bool FastWait::MayWaitUntil(const WaitingUnit& unit, Time ready_at) const {
  const Duration wait = ready_at - unit.due_at;
  // Only the start of a job's first step is guaranteed.
  if (unit.job->request.terms.priority == 0 && unit.step->after.empty() &&
      (wait > options_.urgent_limit ||
       (unit.is_guaranteed &&
        unit.planned_at - unit.due_at >= options_.guaranteed_limit))) {
    return false;
  }
  return wait <= options_.idle_limit || !idle_jobs_.MayUseReserved(unit);
}

bool FastWait::IsBetter(const WaitingUnit& unit,
                        Time ready_at,
                        double fast_factor,
                        double slow_factor) const {
  const Duration wait = ready_at - unit.planned_at;
  return MayWaitUntil(unit, ready_at) &&
         wait + ScaledBy(fast_factor, unit.run_time) <
             ScaledBy((1 - options_.min_saving) * slow_factor, unit.run_time) &&
         OutlookAt(unit, wait, fast_factor) <
             OutlookAt(unit, Duration(0), slow_factor);
}

bool FastWait::MustWaitFor(const WaitingUnit& unit,
                           std::int32_t speed_class,
                           double fast_factor,
                           double slow_factor,
                           ReservationScope scope) {
  const auto is_better = [&](Time ready_at) {
    return IsBetter(unit, ready_at, fast_factor, slow_factor);
  };
  if (searches_ >= options_.max_searches || !is_better(unit.planned_at)) {
    return false;
  }
  ++searches_;
  Time ready_at{0};
  std::size_t units = 1;
  if (unit.step->gang) {
    const std::optional<Time> start_at =
        reservations_.HoldBefore(unit, scope, speed_class, is_better);
    if (!start_at) {
      return false;
    }
    ready_at = *start_at;
  } else {
    // Units of a step are alike: as many wait as will find room in time.
    const std::vector<Time> ready_times =
        reservations_.ReadyTimes(unit, scope, speed_class);
    const auto end =
        std::partition_point(ready_times.begin(), ready_times.end(), is_better);
    const auto in_time = static_cast<std::size_t>(end - ready_times.begin());
    if (in_time <= waiting_tasks_) {
      return false;
    }
    ready_at = ready_times[waiting_tasks_];
    units = std::min(
        in_time - waiting_tasks_,
        static_cast<std::size_t>(unit.step->tasks - unit.first_task.index));
    waits_of_steps_[FirstTaskOfStep(unit.first_task)] = units - 1;
    waiting_tasks_ += units;
  }
  waits_.push_back({.unit = unit.first_task,
                    .units = units,
                    .expected_wait = ready_at - unit.planned_at,
                    .expected_run_time = ScaledBy(fast_factor, unit.run_time),
                    .slow_run_time = ScaledBy(slow_factor, unit.run_time)});
  return true;
}

bool FastWait::MustWait(const WaitingUnit& unit, const UnitPlacement& slow) {
  if (slow.speed_class == 0 || unit.step->long_running || unit.needs_trial ||
      unit.outlook == DeadlineOutlook::kNoCredit) {
    return false;
  }
  if (!unit.step->gang &&
      !waits_of_steps_.try_emplace(FirstTaskOfStep(unit.first_task), 0)
           .second) {
    return false;  // Decided for the whole step.
  }
  const bool is_remote = IsRemote(table_, unit, slow);
  const double locality_factor = is_remote ? kRemoteFactor : 1;
  for (const auto& [speed_class, factor] : table_.speed_classes()) {
    if (speed_class >= slow.speed_class) {
      break;
    }
    if (MustWaitFor(unit, speed_class, factor * locality_factor,
                    slow.slowness * locality_factor,
                    ScopeOf(unit, is_remote))) {
      return true;
    }
  }
  return false;
}

}  // namespace marjoramplank
