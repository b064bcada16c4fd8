#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "marjoramplank/planner.h"
#include "src/planner/job_queue.h"
#include "src/planner/placement_search.h"
#include "src/planner/quarantine.h"
#include "src/planner/reservation_map.h"
#include "src/planner/run_time_estimator.h"
#include "src/planner/worker_table.h"

namespace marjoramplank {

// Phase of a job inside the planner.
enum class JobPhase {
  kWaiting,  // In its account's queue.
  kBackoff,  // Waits for its retry delay.
  // Its resources are claimed; preemption victims are still stopping.
  kClaiming,
  kStarting,  // StartGang was emitted.
  kRunning,   // Every member has started.
  kStopping,  // StopGang was emitted.
};

struct JobRecord {
  std::string id;
  JobSpec spec;
  std::int32_t account = kNone;
  JobPhase phase = JobPhase::kWaiting;
  Time submitted_at{0};
  Time started_at{0};          // Start of the current run.
  Duration saved_run_time{0};  // Run time preserved by checkpoints.
  // Last time it was moved, or preempted for an entitled job or a large gang.
  // Negative: never.
  Time last_moved_at{-1};
  std::int32_t attempts = 0;  // Runs started so far.
  std::int32_t failures = 0;  // Runs that ended with a task failure.
  bool cancel_requested = false;
  // Continues from a checkpoint at its next start.
  bool has_checkpoint = false;
  std::vector<PlacedTask> tasks;  // Empty while waiting.
  // Workers on which a task of the job failed.
  std::vector<WorkerIndex> avoided_workers;
  JobClass queued_class;             // Class it waits in.
  std::int32_t drained_workers = 0;  // Number of workers drained for it.
  // Last time a drain was planned for it. Negative: never. In the future: no
  // drain is planned for it before then.
  Time drain_planned_at{-1};
  bool in_use = false;  // False: the record is free for another job.

  // Recently lost a run on borrowed capacity; see MayBorrow().
  bool borrowing_suspended = false;
  // Runs lost when guaranteed capacity was reclaimed.
  std::int32_t runs_lost_to_reclaim = 0;

  // True when the job may run on capacity guaranteed to others. A job that can
  // be neither repeated nor resumed never may; one that can only be repeated
  // may not for PlannerOptions::borrowing_suspension after it lost a run there.
  bool MayBorrow() const {
    return spec.checkpointable || (spec.idempotent && !borrowing_suspended);
  }
  // True when the job may be stopped for others: it can be resumed or run
  // again.
  bool IsPreemptible() const { return spec.idempotent || spec.checkpointable; }
  std::int64_t TotalAccelerators() const {
    return std::int64_t{spec.tasks} * spec.shape.accelerators;
  }
};

struct AccountState {
  AccountSpec spec;
  // False: removed from the inventory; its remaining jobs still run.
  bool in_inventory = true;
  JobQueue queue;
  std::vector<std::int32_t> cells;  // Indices into PlannerState::cells.
  RunTimeEstimator estimator;
  // Moving average of the share of runs that end with a task failure.
  double failure_rate = 0.1;
  std::int64_t used_guaranteed = 0;  // Accelerators in use, by mode.
  std::int64_t used_shared = 0;
  std::int64_t used_borrowed = 0;
  std::int32_t active_jobs = 0;  // Jobs that hold or claim resources.
  std::int64_t guaranteed_accelerators = 0;

  std::int64_t UsedAccelerators() const {
    return used_guaranteed + used_shared + used_borrowed;
  }
};

// Workers kept free for a blocked gang, see drain.h.
struct Drain {
  JobIndex job = kNone;
  std::vector<WorkerIndex> workers;
  Time expected_ready_at{0};  // When the gang is expected to fit.
  Time reviewed_at{0};
  Time begun_at{0};
};

enum class TimerKind {
  kRetry,          // Retry delay of a job is over.
  kQueueDeadline,  // Queue deadline of a waiting job.
  kQuarantineExpired,
  // The borrowing suspension of a job is over.
  kBorrowingAllowed,
  // Grace period of a data centre out of service is over.
  kGraceExpired,
  // Runs a scheduling pass, for drains, ramps and truncated passes.
  kRunPass,
};

struct Timer {
  TimerKind kind = TimerKind::kRunPass;
  // Id or name of the job, worker or data centre concerned.
  std::string name;
};

// Complete state of the planner: plain data, on which the functions of this
// folder operate.
struct PlannerState {
  PlannerOptions options;
  PlannerCounters counters;
  Inventory inventory;  // As last set.
  WorkerTable table;
  std::vector<QuarantineEvidence> failure_evidence;  // By worker index.
  std::vector<AccountState> accounts;
  std::map<std::string, std::int32_t> account_by_name;
  std::vector<Cell> cells;
  std::vector<JobRecord> jobs;
  std::vector<JobIndex> free_job_indices;
  std::unordered_map<std::string, JobIndex> job_by_id;
  // Jobs in phase kClaiming, oldest claim first.
  std::vector<JobIndex> claiming_jobs;
  // Jobs in data centres that are out of service.
  std::set<JobIndex> evacuating_jobs;
  std::vector<Drain> drains;
  std::multimap<Time, Timer> timers;
  std::vector<Decision> decisions;  // Emitted, not yet returned by Plan().
  // Capacity epoch: counts the events after which a waiting job may fit.
  std::uint64_t capacity_epoch = 1;
  // Workers that linear searches may still visit in the current pass.
  std::int64_t search_budget = 0;
  // A search of the current pass was skipped for lack of budget.
  bool search_budget_exhausted = false;
  Time pass_time{0};  // Start of the current pass.
  // An event occurred since the last pass.
  bool pass_needed = true;
  // Cells must be located anew: one may have lost its location, or capacity
  // for one may have appeared.
  bool cells_need_location = false;
  // Accelerators of the region that are guaranteed to nobody.
  std::int64_t unguaranteed_accelerators = 0;

  JobRecord& job(JobIndex i) { return jobs[static_cast<std::size_t>(i)]; }
  const JobRecord& job(JobIndex i) const {
    return jobs[static_cast<std::size_t>(i)];
  }
  AccountState& account(std::int32_t i) {
    return accounts[static_cast<std::size_t>(i)];
  }
  const AccountState& account(std::int32_t i) const {
    return accounts[static_cast<std::size_t>(i)];
  }
  Cell& cell(std::int32_t i) { return cells[static_cast<std::size_t>(i)]; }
  const Cell& cell(std::int32_t i) const {
    return cells[static_cast<std::size_t>(i)];
  }
  JobIndex FindJob(const std::string& id) const;  // kNone: unknown job.
};

// To be called when capacity may have become free, so that classes that did
// not fit are tried again.
inline void MarkCapacityChanged(PlannerState& s) {
  ++s.capacity_epoch;
  s.pass_needed = true;
}

}  // namespace marjoramplank
