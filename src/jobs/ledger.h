#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/time.h"
#include "src/jobs/ledger_record.h"

namespace marjoramplank {

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* ToString(JobPhase phase);  // "queued", "running", ...

// A gang, or a single task: what starts and ends as one.
struct RunUnit {
  enum class Phase : std::uint8_t { kWaiting, kRunning, kDone };
  Phase phase = Phase::kWaiting;
  bool failed_in_run = false;        // This run has been counted as failed.
  bool stop_requested = false;       // By the planner.
  std::int32_t run = 0;              // Highest number used.
  std::int32_t failures = 0;         // Runs that ended as failed.
  std::int32_t unsettled = 0;        // Members of this run that have not ended.
  std::string checkpoint;            // Newest. Empty: none.
  std::vector<MemberPlace> members;  // Of the current run.
  std::set<WorkerLife> failed_on;    // Workers where a run failed.

  friend bool operator==(const RunUnit&, const RunUnit&) = default;
};

struct StepState {
  std::vector<RunUnit> units;  // One for a gang, else one a task.
  std::int32_t done = 0;       // Units done.

  friend bool operator==(const StepState&, const StepState&) = default;
};

struct JobEntry {
  JobRequest request;  // Steps and payload are dropped when the job ends.
  JobPhase phase = JobPhase::kQueued;
  std::int64_t order = 0;  // Position among all jobs accepted.
  std::vector<std::vector<StepState>> occurrences;  // Empty once ended.
  Time seen{0};  // When this process learned of it. Not replicated.

  bool ended() const { return phase >= JobPhase::kCompleted; }
};

// A task that holds room on a worker.
struct LiveRun {
  std::int32_t run = 1;
  Resources need;
  bool stop = false;  // Must end: stopped, cancelled, or its job has ended.
  bool gang = false;
  std::string payload;
  std::string checkpoint;    // To start from.
  std::int32_t percent = 0;  // Newest observed.
  bool stalled = false;
  Time since{0};  // When this process learned of it. Not replicated.
};

struct WorkerEntry {
  WorkerReported report;
  bool gone = false;          // The life has ended.
  std::int64_t last_end = 0;  // Highest number of an end on the log.
  Resources used;             // By `runs`.
  std::map<TaskRef, LiveRun> runs;
  std::int32_t failed_in_row = 0;   // Failed ends since the last success.
  std::int32_t refused_in_row = 0;  // Refused starts since the last success.
  Time last_trouble{0};             // Of either. Not replicated.
};

struct AgentEntry {
  WorkerLife life;          // Newest of its worker.
  std::string process;      // Of the last beat.
  std::int64_t starts = 0;  // Runs of its process seen so far.
  Time beat_seen{0};        // When this process read its last beat.
};

// State that every process replays from the same records in the same order.
// Records that do not fit the state have no effect, so a decision of a planner
// that was replaced or paused is void for everybody alike. Fields marked as not
// replicated are this process's own observations.
class Ledger {
 public:
  // Returns false if the record had no effect.
  bool Apply(Time now, const LedgerRecord& record);

  const JobEntry* FindJob(const std::string& id) const;
  const WorkerEntry* FindWorker(const WorkerLife& life) const;
  const AgentEntry* FindAgent(const std::string& agent) const;
  const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  const std::map<WorkerLife, WorkerEntry>& workers() const { return workers_; }
  const std::map<std::string, AgentEntry>& agents() const { return agents_; }
  // By name, each at its last start; it may be gone.
  const std::map<std::string, EntryStarted>& entries() const {
    return entries_;
  }
  const std::set<std::string>& open_jobs() const { return open_jobs_; }

  const std::string& planner() const { return planner_; }  // Empty: none.
  std::int64_t planner_epoch() const { return planner_epoch_; }
  Time planner_seen() const { return planner_seen_; }  // Last beat read.

  // Jobs that have ended since this process began to replay.
  std::int64_t ended_jobs() const { return ended_; }
  // Jobs of a queue of which no task has started.
  std::int32_t WaitingJobs(const std::string& queue) const;
  // True if every step that this one depends on is done.
  static bool IsReady(const JobEntry& job,
                      std::size_t occurrence,
                      std::size_t step);

 private:
  friend class LedgerSnapshot;

  bool On(Time now, const JobSubmitted& r);
  bool On(Time now, const JobCancelled& r);
  bool On(Time now, const AgentBeat& r);
  bool On(Time now, const EntryStarted& r);
  bool On(Time now, const WorkerReported& r);
  bool On(Time now, const WorkerEmptied& r);
  bool On(Time now, const PlannerElected& r);
  bool On(Time now, const PlannerResigned& r);
  bool On(Time now, const RunStarted& r);
  bool On(Time now, const RunStopped& r);
  bool On(Time now, const TaskEnded& r);
  bool On(Time now, const StartRefused& r);
  bool On(Time now, const RunObserved& r);

  bool MayStart(const RunStarted& r) const;
  RunUnit* FindUnit(const TaskRef& task);
  bool ReleaseRun(WorkerEntry& worker, const TaskRef& task, std::int32_t run);
  void Settle(const TaskRef& task,
              std::int32_t run,
              TaskEnd how,
              const std::string& checkpoint,
              const WorkerLife& on);
  void CountFailure(JobEntry& job, RunUnit& unit, const WorkerLife& on);
  void FinishUnit(JobEntry& job, const TaskRef& task, RunUnit& unit);
  void StopMembers(const TaskRef& first, const RunUnit& unit);
  void EndJob(JobEntry& job, JobPhase phase);
  void Empty(WorkerEntry& worker);

  std::map<std::string, JobEntry> jobs_;
  std::set<std::string> open_jobs_;      // Not ended.
  std::set<std::string> withdrawn_;      // Cancelled before they were seen.
  std::deque<std::string> ended_order_;  // Ended jobs, oldest first.
  std::map<WorkerLife, WorkerEntry> workers_;
  std::map<std::string, AgentEntry> agents_;
  std::map<std::string, EntryStarted> entries_;
  std::string planner_;
  std::int64_t planner_epoch_ = 0;
  Time planner_seen_{0};
  std::int64_t accepted_ = 0;
  std::int64_t ended_ = 0;  // Not replicated.
};

// Ended jobs that stay known, so that their state can be asked for. At 59,000
// jobs a day this covers 8 hours.
inline constexpr std::size_t kEndedJobsKept = 20'000;

// Ids that were cancelled before they were seen and are remembered. Beyond it
// the lowest is forgotten, which only matters if its submission is still on
// its way.
inline constexpr std::size_t kWithdrawnKept = 10'000;

// The task that names a unit: the task itself, or the gang's first.
TaskRef UnitOf(const JobEntry& job, TaskRef task);

}  // namespace marjoramplank
