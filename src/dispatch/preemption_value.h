#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "src/dispatch/run_forecast.h"
#include "src/dispatch/waiting_unit.h"

namespace marjoramplank {

// When work beyond a guarantee may stop other runs. Work within a guarantee is
// bound by none of it.
//
// Gains and losses are in core-seconds of the lowest priority's work: the
// credit of a job counts as the core-seconds of the mean job of the lowest
// priority, times the weight of its own priority, times its size relative to
// the mean job of its queue.
struct PreemptionPolicy {
  // By priority, the highest first; lower ones have the last weight. Urgent
  // jobs are small and worth more than batch jobs that use ten times as much.
  std::array<double, 3> credit_weights{4, 3, 1};
  // Credit of a late end, relative to one by the deadline: customers value it
  // at 0.2 to 0.3.
  double late_credit_fraction = 0.25;
  // Scale of the logistic distribution of an expected end, relative to the time
  // until then. An end shortly before or after a deadline may be on either
  // side of it.
  double end_uncertainty = 0.15;
  // Smallest gain, as a fraction of the unit's credit. Less is uncertain.
  double min_gained_fraction = 0.02;
  // From a stop's decision until its capacity can be used. Workers give a run
  // 0.2 to 0.9 s to stop.
  Duration stop_time{500};
  // Run time that a task loses by resuming from a checkpoint.
  Duration restart_time{600};
  // Expected wait of a displaced unit for capacity.
  Duration restart_wait{1000};
  // A wait lasts this many times as long as expected, by the learned times'
  // spread of about a quarter.
  double wait_margin = 1.25;
  // A displaced unit is not displaced again until its next run is this old.
  Duration min_run_after_displacement{3000};
  std::int32_t max_displacements = 2;  // Of one unit.
  std::int32_t max_stops_per_member = 4;
  std::int32_t max_stops_per_plan = 30;
};

// Weighs what a preemption gains against what it costs. Used for one plan.
class PreemptionValue {
 public:
  // The policy and the forecast must outlive it.
  PreemptionValue(const PreemptionPolicy& policy, RunForecast& forecast)
      : policy_(policy), forecast_(forecast) {}

  // Gain of the unit if it starts at `soon` rather than at `later`; kNever:
  // it would not start.
  double GainOf(const WaitingUnit& unit, Time soon, Time later);
  // Credit that the job of a running unit loses if its run, which takes
  // `remaining` from now on, is stopped now.
  double CreditLoss(const LedgerJob& job,
                    const TaskRef& first,
                    Duration remaining);
  double CreditWeight(const LedgerJob& job) const;

 private:
  // Expected fraction of the full credit, for an expected end at `end`.
  double CreditFraction(const LedgerJob& job,
                        std::int32_t occurrence,
                        Time end);
  // Full credit of the job.
  double CreditOf(const LedgerJob& job);
  void MeasureQueues();
  bool HasWaitingUnits(const StepState& step);

  const PreemptionPolicy& policy_;
  RunForecast& forecast_;
  std::unordered_map<const StepState*, bool> has_waiting_;
  bool has_measured_queues_ = false;
  std::map<std::string, double> mean_sizes_;  // By queue, core-seconds.
  double reference_size_ = 0;  // Mean size of a job of the lowest priority.
};

}  // namespace marjoramplank
