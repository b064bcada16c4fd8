#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/policy/policy.h"
#include "bench/policy/workload.h"

namespace marjoramplank::bench {

// Metrics of one simulation, in virtual time: equal on every machine.
struct PolicyMetrics {
  std::string policy;
  std::size_t jobs_done = 0;
  // Failed, or interrupted and not run again.
  std::size_t jobs_not_done = 0;
  double completion_mean_s = 0;  // Completion time: from arrival to end.
  double completion_p50_s = 0;
  double completion_p95_s = 0;
  double completion_p99_s = 0;
  // Mean of completion time / run time, for jobs of one task.
  double slowdown_small = 0;
  // The same for gangs of at least 16 accelerators.
  double slowdown_large = 0;
  // Wait of these gangs until their first start.
  double large_wait_p99_s = 0;
  double wait_max_s = 0;         // Longest wait of any job.
  double urgent_wait_max_s = 0;  // Longest wait of an urgent job.
  // Mean over time; see DataCentreReport.
  double fragmentation = 0;
  double utilisation = 0;  // During the arrival period.
  // Work done during the absence of the data centre, relative to the capacity
  // of the others.
  double absence_work_share = 0;
  // Work done in the hour after its return, relative to the whole capacity.
  double after_return_work_share = 0;
  // Share of the work that was lost by stops and failures.
  double lost_work_share = 0;
  std::size_t runs_stopped = 0;  // Runs stopped by decision.
  // Jobs that fell under their account's guarantee at arrival.
  std::size_t guaranteed_jobs = 0;
  // Longest wait of such a job.
  double guaranteed_wait_max_s = 0;
  // Such jobs that waited longer than allowed.
  std::size_t guarantee_violations = 0;
  double makespan_s = 0;  // End of the last job.
  // Work / capacity, or the longest job if that is more.
  double lower_bound_s = 0;
};

PolicyMetrics Simulate(const Workload& workload,
                       Policy policy,
                       std::string name);

}  // namespace marjoramplank::bench
