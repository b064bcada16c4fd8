#pragma once

#include <set>

#include "src/planner/occupancy.h"

namespace marjoramplank {

// Selection of preemption victims, and the cost of stopping them.

// Why jobs are stopped; decides which ones are eligible.
enum class PreemptionPurpose {
  // Guaranteed cells are reclaimed: stops borrowers.
  kCellReclaim,
  // An urgent job: stops normal jobs outside their guarantees.
  kUrgentJob,
  // A job within its account's guarantee but outside its cells: stops jobs of
  // accounts above their fair share.
  kEntitlement,
  // A large gang that has waited: moves smaller checkpointable jobs, each at
  // most once per min_move_interval, and stops young ones.
  kLargeGang,
};

// Accelerators guaranteed to the account, plus an even share of those
// guaranteed to nobody.
std::int64_t FairShare(const PlannerState& s, const AccountState& account);

// True when a task of `job` with this mode may be stopped for `for_job`.
bool MayPreempt(const PlannerState& s,
                Time now,
                PreemptionPurpose purpose,
                JobIndex for_job,
                const JobRecord& job,
                TaskMode mode);

// Adds the jobs that must stop before `mask` and `need` are free on the worker,
// least lost work first. Returns false if stopping jobs cannot free them.
bool CollectVictims(const PlannerState& s,
                    Time now,
                    WorkerIndex worker,
                    AcceleratorMask mask,
                    const HostResources& need,
                    PreemptionPurpose purpose,
                    JobIndex for_job,
                    std::set<JobIndex>& victims);

// Work lost by stopping a job now, in accelerator-milliseconds. A
// checkpointable job loses at most a fixed time.
std::int64_t PreemptionCost(const PlannerState& s, Time now, JobIndex i);

}  // namespace marjoramplank
