#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/dispatch/reservation.h"
#include "src/dispatch/speed_choice.h"

namespace marjoramplank {

// Decides which units wait for faster machines although slow ones have room.
// A unit waits only if that is expected to improve its outlook, and for a
// bounded time: expectations may be wrong. Used for one plan.
class FastWait {
 public:
  struct Options {
    // Waiting must save this share of the run time on the slow machine.
    double min_saving = 0.1;
    // First steps of priority 0 wait only for capacity that is expected by this
    // time after they are due. A job within its guarantee must have started
    // 2.7 s after its acknowledgement.
    Duration urgent_limit{1000};
    // Such units within a guarantee that have waited this long start at once,
    // on any machine.
    Duration guaranteed_limit{700};
    // As a job may not have nothing running for 3 s while the service is idle.
    Duration idle_limit{2000};
    // From the decision to stop a run until its capacity is free. Workers give
    // a run 0.2 to 0.9 s to stop.
    Duration stop_time{500};
    // Searches for capacity that a plan may make.
    std::int32_t max_searches = 8;
  };

  // A unit that waits, or several of a step. For logs only.
  struct Wait {
    TaskRef unit;  // The first one.
    std::size_t units = 1;
    Duration expected_wait{0};
    Duration expected_run_time{0};  // On the machines that it waits for.
    Duration slow_run_time{0};      // On those that have room.
  };

  // All but the options must outlive the object.
  FastWait(const Options& options,
           CapacityTable& table,
           ReservationPlanner& reservations,
           const IdleJobs& idle_jobs)
      : options_(options),
        table_(table),
        reservations_(reservations),
        idle_jobs_(idle_jobs) {}

  // True if the unit is of a step whose units wait, as MustWait() has decided
  // for their number. Counts the unit.
  bool TakeWaitOfStep(const WaitingUnit& unit);
  // True if the unit must not start where it could now. Reserves the faster
  // workers for a gang.
  bool MustWait(const WaitingUnit& unit, const UnitPlacement& slow);
  // True if the unit may wait for runs to stop that were preempted for it;
  // `is_new`: that are to be preempted now.
  bool MayAwaitStops(const WaitingUnit& unit, bool is_new) const;

  const std::vector<Wait>& waits() const { return waits_; }

 private:
  // True if the unit may still wait, for capacity that is expected to be free
  // at `ready_at`.
  bool MayWaitUntil(const WaitingUnit& unit, Time ready_at) const;
  // Waiting for `ready_at` is better than `slow`, which takes `slow_factor`
  // times the run time; then it takes `fast_factor` times.
  bool IsBetter(const WaitingUnit& unit,
                Time ready_at,
                double fast_factor,
                double slow_factor) const;
  // Workers up to the class.
  bool MustWaitFor(const WaitingUnit& unit,
                   std::int32_t speed_class,
                   double fast_factor,
                   double slow_factor,
                   ReservationScope scope);

  const Options options_;
  CapacityTable& table_;
  ReservationPlanner& reservations_;
  const IdleJobs& idle_jobs_;
  std::int32_t searches_ = 0;
  // Single tasks that wait for the soonest capacity.
  std::size_t waiting_tasks_ = 0;
  // Units that are still to wait, by the first task of their step.
  std::map<TaskRef, std::size_t> waits_of_steps_;
  std::vector<Wait> waits_;
};

}  // namespace marjoramplank
