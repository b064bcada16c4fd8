#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/inventory.h"
#include "marjoramplank/job_spec.h"
#include "marjoramplank/job_state.h"
#include "marjoramplank/placement.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// The planner decides where and when the jobs of one region run. It is a pure
// state machine: it has no thread, socket, clock or random source, and the same
// calls give the same decisions. Its owner reports events to it and carries out
// its decisions.
//
//   Planner planner(PlannerOptions{.region = "sk-stred"});
//   planner.SetInventory(now, inventory);
//   planner.SetWorkerUp(now, "w1", true);
//   planner.Submit(now, {.job = id, .spec = spec});
//   for (const Decision& d : planner.Plan(now)) { ... }

struct PlannerOptions {
  // Region planned for. Empty: every data centre of the inventory.
  std::string region;

  // Preemption.

  // Longest wait for the checkpoint of a job stopped by a reclaim.
  Duration reclaim_checkpoint_timeout = 1200ms;
  // Longest wait for the checkpoint of a job that is moved.
  Duration move_checkpoint_timeout = 30s;
  // Shortest time between two moves of the same job.
  Duration min_move_interval = 10min;
  // Runs up to this age may be stopped, losing their work, for a large gang.
  Duration young_run_limit = 5min;
  // A job that lost a run on borrowed capacity and is not checkpointable may
  // not borrow for this long.
  Duration borrowing_suspension = 1h;
  // A small job that may borrow opens an idle cell of several workers only
  // after this wait.
  Duration rack_cell_wait = 24h;

  // Large gangs.

  // Smallest gang, in accelerators, for which other jobs are moved.
  std::int64_t large_gang_accelerators = 8;
  // Wait of such a gang before other jobs are moved.
  Duration large_gang_preemption_wait = 60s;
  // Wait of a blocked job before workers are drained for it.
  Duration drain_wait = 10min;
  // Drains expected to take longer begin only after starvation_wait.
  Duration drain_horizon = 10min;
  // Wait after which a drain of any length may begin.
  Duration starvation_wait = 12h;
  // A drain ends if the gang has not started within this time.
  Duration drain_timeout = 2h;
  // Drains at the same time.
  std::int32_t max_concurrent_drains = 1;

  // Quarantine of workers.

  // First quarantine; doubles for each repetition.
  Duration quarantine_base = 5min;
  Duration quarantine_max = 1h;  // Longest quarantine.
  // Weighted failures without a success that start a quarantine.
  double quarantine_threshold = 2.5;
  // Largest share of a data centre's workers in quarantine; one is always
  // allowed.
  double quarantine_max_share = 0.1;

  // Retries.

  // Limit of runs that end with a task failure.
  std::int32_t max_attempts = 4;
  // Delay before the second attempt; doubles for each further one, jittered.
  Duration retry_backoff = 1s;
  Duration retry_backoff_max = 60s;  // Longest delay between attempts.

  // Workers visited by linear searches in one pass; at least one search runs.
  std::int64_t search_budget = 20'000;
  // Time over which a data centre returned to service takes load again.
  Duration return_ramp_duration = 20s;
};

// A job submitted to the planner.
struct PlannedJob {
  std::string job;  // Job id.
  // Validated request, see CheckJobSpec().
  JobSpec spec;
  // Attempts already made, for a job taken over from another planner.
  std::int32_t attempts = 0;

  friend bool operator==(const PlannedJob&, const PlannedJob&) = default;
};

// Decision: start every task of the gang, or none. The owner answers with
// OnStarted() or OnStartFailed().
struct StartGang {
  std::string job;
  std::int32_t attempt = 1;  // Counts from 1 over the life of the job.
  std::vector<TaskPlacement> placements;  // One for each task, by task index.

  friend bool operator==(const StartGang&, const StartGang&) = default;
};

enum class StopReason {
  kReclaimed,      // Guaranteed capacity was reclaimed by its account.
  kUrgent,         // An urgent job needs the capacity.
  kDataCentreOut,  // The data centre was taken out of service.
  kMoved,          // The job moves to make room for a large gang.
  kCancelled,      // The caller cancelled it.
  kWorkerLost,     // A member of the gang was lost.
};
const char* ToString(StopReason reason);

// Decision: stop every task of the gang. The owner answers with OnEnded().
struct StopGang {
  std::string job;
  StopReason reason = StopReason::kCancelled;
  // True: request a checkpoint first.
  bool checkpoint = false;
  // Longest wait for the checkpoint; then the tasks are stopped without it.
  Duration checkpoint_timeout{0};

  friend bool operator==(const StopGang&, const StopGang&) = default;
};

// Decision: the job has reached an end state.
struct EndJob {
  std::string job;
  JobOutcome outcome;

  friend bool operator==(const EndJob&, const EndJob&) = default;
};

using Decision = std::variant<StartGang, StopGang, EndJob>;

// How a run of a gang ended, as reported by the agents.
enum class RunEnd {
  kSucceeded,     // Every task succeeded.
  kTaskFailed,    // A task failed; the others were stopped.
  kCheckpointed,  // Stopped by decision, progress saved.
  kStopped,       // Stopped by decision, progress lost.
  kLost,          // A member was lost; the others were stopped.
  // Every member confirmed that no task has started or will start.
  kNeverStarted,
};

// Result of a run.
struct RunResult {
  RunEnd end = RunEnd::kSucceeded;
  std::string failed_worker;  // Worker at which the run failed, if any.
  std::string reason;         // One sentence for the caller.
  // Answers by task index. Only for kSucceeded.
  std::vector<std::string> parts;
};

// Why a job waits, for `explain`.
struct WaitReason {
  std::string summary;  // One sentence.
  std::string remedy;   // What would let it run.

  friend bool operator==(const WaitReason&, const WaitReason&) = default;
};

// State of one client account.
struct AccountReport {
  std::string account;
  std::int32_t guaranteed = 0;  // Accelerators guaranteed.
  // Guaranteed accelerators whose cells have a location.
  std::int32_t reserved = 0;
  // Accelerators used inside the account's cells.
  std::int32_t used_guaranteed = 0;
  // Accelerators used that are guaranteed to nobody.
  std::int32_t used_shared = 0;
  // Accelerators used that are guaranteed to others.
  std::int32_t used_borrowed = 0;
  std::int32_t queued_jobs = 0;   // Waiting jobs.
  std::int32_t running_jobs = 0;  // Running or starting jobs.
};

struct DataCentreReport {
  std::string name;
  bool out_of_service = false;
  std::int32_t workers_up = 0;
  std::int32_t workers = 0;
  std::int32_t quarantined_workers = 0;
  std::int32_t accelerators = 0;  // Of workers that are up.
  std::int32_t used = 0;          // Accelerators in use.
  // Share of the free accelerators that are not on wholly free workers, 0
  // to 1.
  double fragmentation = 0;
};

struct PlannerReport {
  std::vector<AccountReport> accounts;
  std::vector<DataCentreReport> data_centres;
  // One sentence for each guarantee that the workers in service cannot hold.
  std::vector<std::string> unmet_guarantees;
  std::int32_t queued_jobs = 0;
  std::int32_t running_jobs = 0;
};

// Operation counts, for metrics and regression bounds.
struct PlannerCounters {
  std::uint64_t passes = 0;  // Scheduling passes.
  // Queue heads examined over all passes.
  std::uint64_t queue_heads_examined = 0;
  std::uint64_t workers_examined = 0;  // Workers visited by placement searches.
  std::uint64_t starts = 0;            // StartGang decisions.
  std::uint64_t reclaims = 0;          // Victims stopped to reclaim guarantees.
  std::uint64_t urgent_stops = 0;      // Victims stopped for urgent jobs.
  // Jobs moved for a large gang, or out of a data centre.
  std::uint64_t moves = 0;
  std::uint64_t drains = 0;       // Drains begun.
  std::uint64_t quarantines = 0;  // Quarantines begun.
};

struct PlannerState;  // Internal; see src/planner/planner_state.h.

class Planner {
 public:
  explicit Planner(PlannerOptions options);
  ~Planner();
  Planner(Planner&&) noexcept;
  Planner& operator=(Planner&&) noexcept;

  // Replaces the inventory. Jobs are kept; new workers start as down.
  void SetInventory(Time now, const Inventory& inventory);
  // `up` false: the worker gets no new tasks; its tasks are kept until
  // OnEnded().
  void SetWorkerUp(Time now, const std::string& worker, bool up);
  // Queues a job; ignored if the id is known.
  void Submit(Time now, const PlannedJob& job);
  // Ends a queued job at once; stops a running one.
  void Cancel(Time now, const std::string& job);
  // Every member of the gang has started.
  void OnStarted(Time now, const std::string& job);
  // No member has started or will start. `worker`: the member that refused.
  void OnStartFailed(Time now,
                     const std::string& job,
                     const std::string& worker);
  // The run has ended; releases its resources.
  void OnEnded(Time now, const std::string& job, const RunResult& result);
  // Takes over a run that is already in progress.
  void AdoptRun(Time now,
                const PlannedJob& job,
                const std::vector<TaskPlacement>& placements);
  // Drops a job that ended elsewhere, without a decision.
  void DropJob(const std::string& job);

  // Returns the decisions that are due. Call after events, and at NextWake().
  std::vector<Decision> Plan(Time now);
  // Time of the next timed decision. kNever: none.
  Time NextWake() const;

  // False for unknown jobs and after the end of the job.
  bool HasJob(const std::string& job) const;
  // Empty summary: the job is not waiting.
  WaitReason Explain(Time now, const std::string& job) const;
  PlannerReport Report() const;
  const PlannerCounters& counters() const;
  const PlannerState& state() const;  // For tests and debug views.

 private:
  std::unique_ptr<PlannerState> state_;
};

// Returns the guarantees that cannot all be met at once with every worker up,
// one sentence each. `excluded_data_centre`: assumed to be out of service;
// empty: none.
std::vector<std::string> CheckGuarantees(
    const Inventory& inventory,
    const std::string& excluded_data_centre = "");

}  // namespace marjoramplank
