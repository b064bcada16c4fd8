#pragma once

#include <set>

#include "src/planner/occupancy.h"

namespace marjoramplank {

// Which jobs may be stopped for another, and what that costs.

// For whose sake jobs may be stopped.
enum class StopFor {
  kGuarantee,  // The holder of a guarantee: stops borrowers.
  kUrgent,     // An urgent job: stops normal jobs outside their guarantees.
  kEntitled,   // A job within its account's guarantee, wherever it fits: stops
               // jobs of accounts that use more than their share.
  kLargeGang,  // A gang that has waited: moves smaller jobs that can be
               // checkpointed, each only now and then.
};

// Accelerators that are the account's own, or its even part of those promised
// to nobody.
std::int64_t FairShare(const PlannerState& s, const AccountState& account);

// True when a task of the job may be stopped for that sake. `for_job` is the
// job that wants the room.
bool MayStop(const PlannerState& s,
             Time now,
             StopFor sake,
             JobIndex for_job,
             const JobRecord& job,
             TaskMode mode);

// Adds the jobs that would have to stop before `mask` and `need` are free on
// the worker, least work lost first. Returns false if stopping cannot free it.
bool CollectVictims(const PlannerState& s,
                    Time now,
                    WorkerIndex worker,
                    AcceleratorMask mask,
                    const Amount& need,
                    StopFor sake,
                    JobIndex for_job,
                    std::set<JobIndex>& victims);

// Work that would be lost by stopping a job now, in accelerator-milliseconds. A
// checkpoint costs a fixed share.
std::int64_t StopCost(const PlannerState& s, Time now, JobIndex i);

}  // namespace marjoramplank
