#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/time.h"
#include "src/jobs/ledger_record.h"
#include "src/jobs/run_length_vector.h"
#include "src/run_times/run_time_model.h"

namespace marjoramplank {

// A job runs from the decision to start a task on. It is queued again if no
// worker is known to have begun any of its runs and none may still do so.
enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* ToString(JobPhase phase);  // "queued", "running", ...

// A gang or a single task: the unit that is started and retried as a whole.
struct RunUnit {
  enum class Phase : std::uint8_t { kWaiting, kRunning, kDone };
  Phase phase = Phase::kWaiting;
  bool failure_counted = false;  // The current run is included in `failures`.
  bool stop_requested = false;   // The planner has stopped the current run.
  std::int32_t run = 0;          // Number of the latest run. 0: none yet.
  std::int32_t failures = 0;     // Failed runs.
  // Members of the current run that have not ended.
  std::int32_t unfinished_members = 0;
  std::int32_t displacements = 0;  // Runs stopped to make room.
  std::int32_t migrations = 0;     // Runs stopped to go on elsewhere.
  // Members of earlier runs of which a start may still be carried out. The unit
  // does not start before all of them have expired.
  std::int32_t late_starts = 0;
  std::string checkpoint;            // Newest. Empty: none.
  std::vector<MemberPlace> members;  // Placement of the current run.
  // Workers on which a run has failed.
  std::set<WorkerIncarnation> failed_on_workers;
  // Workers that crashed right after they had started a task of the unit: by
  // the task's index, then by the agent of their machine.
  std::map<std::int32_t, std::map<std::string, std::int32_t>> crashes;

  bool IsStartable() const {
    return phase == Phase::kWaiting && late_starts == 0;
  }
  // The count of the task that has the most.
  std::int32_t MaxCrashes() const;
  // True if a worker of the agent is among them.
  bool HasCrashed(const std::string& agent) const;

  friend bool operator==(const RunUnit&, const RunUnit&) = default;
};

struct StepState {
  // One for a gang, else one for each task.
  RunLengthVector<RunUnit> units;
  std::int32_t done_units = 0;  // Units that are done.

  bool IsDone() const {
    return done_units == static_cast<std::int32_t>(units.size());
  }
  friend bool operator==(const StepState&, const StepState&) = default;
};

// State of a job.
struct LedgerJob {
  JobRequest request;  // Steps and payload are cleared when the job ends.
  JobPhase phase = JobPhase::kQueued;
  // A worker has begun a run: its agent has recorded an end of one, or has
  // observed one. Starts that were refused or lost with the agent do not count.
  bool has_begun = false;
  // Its queue has moved to another service: runs from before may still be at
  // work on workers of that one.
  bool has_moved = false;
  std::int32_t running_units = 0;
  // Position among all accepted jobs, from 1.
  std::int64_t sequence_number = 0;
  // State of each step, by occurrence. Cleared when the job ends.
  RunLengthVector<std::vector<StepState>> occurrences;
  Time first_seen_at{0};  // When this process first read it. Not replicated.

  bool ended() const { return phase >= JobPhase::kCompleted; }
  // The unit of its first task. It must exist.
  const RunUnit& UnitOf(const TaskRef& first) const {
    return occurrences[static_cast<std::size_t>(first.occurrence)]
                      [static_cast<std::size_t>(first.step)]
                          .units[static_cast<std::size_t>(first.index)];
  }
};

// A run of a task that holds resources on a worker.
struct LiveRun {
  std::int32_t run = 1;
  Resources need;
  // Must be stopped: preempted, cancelled or job ended.
  bool must_stop = false;
  bool gang = false;
  // Process of the worker's agent when the run was ordered. No earlier process
  // can have sent the start.
  std::string agent_process;
  // When that process was known to have ended, by LedgerAgent::Uptime().
  // Negative: not known to have.
  Duration sender_ended_at{-1};
  // A start had no answer and was not carried out before the next one was sent:
  // it may be, until it is too old.
  bool start_unanswered = false;
  std::string payload;
  std::string checkpoint;    // That the run starts from. Empty: none.
  std::int32_t percent = 0;  // Latest reported progress.
  bool stalled = false;      // No progress for the stall time.
  // For all of its work, at the speed of its progress. 0: not known.
  Duration projected_run_time{0};
  Time first_seen_at{0};  // When this process first read it. Not replicated.
  // When this process read the latest progress. Not replicated.
  Time observed_at{0};
};

// A run that has ended on a worker, or was refused there, and of which a start
// that had no answer may still be carried out: by the next incarnation, as
// calls name the worker's id alone and that one has seen no fencing token.
// Until it is too old, the task does not start elsewhere, its agent
// acknowledges no end, and calls the id under a raised token.
struct LateStart {
  WorkerIncarnation incarnation;  // That it was meant for.
  std::string agent_process;      // That may have sent it.
  Duration sender_ended_at{-1};   // See LiveRun.
  bool holds_unit = false;        // Counted in RunUnit::late_starts.

  friend bool operator==(const LateStart&, const LateStart&) = default;
};

// A task that had just been started on a worker when it crashed.
struct CrashSuspect {
  TaskRef task;
  std::int32_t crashed_workers = 0;  // Under this task so far.
};

// State of one incarnation of a worker.
struct LedgerWorker {
  WorkerReported report;           // Latest report of its agent.
  bool incarnation_ended = false;  // The incarnation has ended.
  // Highest number of an ended run on the log.
  std::int64_t last_end_number = 0;
  // Highest number of an end, as done or failed, of a run that the ledger had
  // taken from the worker before. The task may have started again, so the end
  // must not be acknowledged under a lease that makes it count.
  std::int64_t last_overtaken_end = 0;
  Resources used;  // Sum over `runs`.
  std::map<TaskRef, LiveRun> runs;
  // Failed tasks since the last success.
  std::int32_t consecutive_failures = 0;
  // Refused starts since the last success.
  std::int32_t consecutive_refusals = 0;
  // Last failed task or refused start. Not replicated.
  Time last_failure_at{0};
  // Set when it crashes. Not replicated.
  std::vector<CrashSuspect> crash_suspects;
};

struct LedgerAgent {
  WorkerIncarnation incarnation;  // Latest incarnation of its worker.
  std::string process;            // Process that sent the last heartbeat.
  std::string process_before;     // The one that it has replaced.
  // Number of the process, which rises with each of the agent; it scopes the
  // fencing tokens.
  std::int64_t process_number = 0;
  // Time for which processes of the agent are known to have run: of those
  // before the present one, and of that one.
  Duration earlier_uptime{0};
  Duration uptime{0};
  std::map<RunRef, LateStart> late_starts;
  // Number of the last statement of the process about its worker, and of the
  // one before.
  std::int64_t last_statement = 0;
  std::int64_t last_statement_before = 0;
  // Heartbeats in a row of the process before, which is said to be replaced.
  // Counted for processes without a number only.
  std::int32_t beats_of_process_before = 0;
  Time last_heartbeat_at{0};   // When this process read the last heartbeat.
  Duration listening_time{0};  // Of the ledger, at the last heartbeat.
  // The worker that the agent has heard, and when, by this process's clock.
  // Not replicated, and not taken from history: see ForgetLiveness(). Empty id:
  // not known to live.
  WorkerIncarnation heard_worker;
  Time worker_heard_at{0};
  // Crashed workers since a run last ended as done on one of its workers.
  std::int32_t consecutive_crashes = 0;
  // The suspects of each of the latest crashes, oldest first. None: the worker
  // was idle, or had started nothing lately.
  std::vector<std::vector<TaskRef>> crashes;
  // Not replicated, and not taken from history: see ForgetLiveness().
  Time last_crash_at{0};

  // A clock that all replicas and processes of the agent agree on. It stands
  // still while no process is known to run, so it never runs ahead.
  Duration Uptime() const { return earlier_uptime + uptime; }
};

// Replicated state machine: every process applies the same records in the same
// order. A record that does not fit the state has no effect, so a decision of a
// planner that was replaced or paused is ignored by all processes alike. Fields
// marked as not replicated hold this process's own observations.
class Ledger {
 public:
  // Returns false if the record had no effect.
  bool Apply(Time now, const LedgerRecord& record);
  // Call when a process has replayed the history from before its start: what
  // that history says about live workers and crashes is of unknown age. A
  // worker gets work again once its agent reports it anew.
  void ForgetLiveness();

  // A copy that plans like the ledger, for a plan of what would happen. It has
  // the open jobs only, no payloads and only marks of checkpoints: don't save
  // it as a snapshot.
  Ledger CopyForPlanning() const;
  // States of units that the open jobs hold. Bounds the size of that copy.
  std::size_t OpenUnitCount() const;

  const LedgerJob* FindJob(const std::string& id) const;
  const LedgerWorker* FindWorker(const WorkerIncarnation& incarnation) const;
  // Workers that have crashed under the task. 0: none, or an unknown task.
  std::int32_t CrashedWorkers(const TaskRef& task) const;
  const LedgerAgent* FindAgent(const std::string& agent) const;
  const std::map<std::string, LedgerJob>& jobs() const { return jobs_; }
  const std::map<WorkerIncarnation, LedgerWorker>& workers() const {
    return workers_;
  }
  const std::map<std::string, LedgerAgent>& agents() const { return agents_; }
  // Latest start of each entry, by name. The entry may have stopped since.
  const std::map<std::string, EntryStarted>& entries() const {
    return entries_;
  }
  const std::set<std::string>& open_jobs() const { return open_jobs_; }
  const RunTimeModel& run_times() const { return run_times_; }

  // Time since the agent's last heartbeat, without the time in which no record
  // of anybody could be read: the agent had no chance to be heard then.
  Duration SilenceOf(const LedgerAgent& agent, Time now) const {
    return ListeningTime(now) - agent.listening_time;
  }

  // Name of the entry that is the leader. Empty: none.
  const std::string& planner() const { return planner_; }
  std::int64_t planner_epoch() const { return planner_epoch_; }
  // When this process read the last election, heartbeat or resignation.
  Time planner_last_seen_at() const { return planner_last_seen_at_; }

  // Jobs that have ended since this process started to replay.
  std::int64_t ended_jobs() const { return ended_count_; }
  // Jobs of which no worker has begun a task, by queue.
  std::map<JobQueue, std::int32_t> QueuedJobCounts() const;
  // Of the newest configuration that open jobs have followed.
  std::int64_t rules_version() const { return rules_version_; }
  // True if the unit runs on workers of the job's present service. False: its
  // queue has moved since it was started.
  bool IsAtServiceOfJob(const LedgerJob& job, const RunUnit& unit) const;
  // True if every step that this one depends on is done.
  static bool IsReady(const LedgerJob& job,
                      std::size_t occurrence,
                      std::size_t step);

 private:
  friend class LedgerSnapshot;

  bool ApplyRecord(Time now, const JobSubmitted& r);
  bool ApplyRecord(Time now, const JobCancelled& r);
  bool ApplyRecord(Time now, const AgentHeartbeat& r);
  bool ApplyRecord(Time now, const EntryStarted& r);
  bool ApplyRecord(Time now, const WorkerReported& r);
  bool ApplyRecord(Time now, const WorkerEmptied& r);
  bool ApplyRecord(Time now, const PlannerElected& r);
  bool ApplyRecord(Time now, const PlannerResigned& r);
  bool ApplyRecord(Time now, const RunStarted& r);
  bool ApplyRecord(Time now, const RunStopped& r);
  bool ApplyRecord(Time now, const TaskEnded& r);
  bool ApplyRecord(Time now, const StartRefused& r);
  bool ApplyRecord(Time now, const RunObserved& r);
  bool ApplyRecord(Time now, const QueueChanged& r);
  bool ApplyRecord(Time now, const StartUnanswered& r);
  bool ApplyRecord(Time now, const StartsExpired& r);

  // Returns false if the heartbeat is a delayed one of a process that was
  // replaced.
  bool TakeProcess(LedgerAgent& agent, const AgentHeartbeat& r);
  // The same for a process of an earlier version, which has no number: a
  // guess.
  bool TakeUnnumberedProcess(LedgerAgent& agent, const std::string& process);
  void ReplaceProcess(LedgerAgent& agent,
                      const std::string& process,
                      std::int64_t number);
  // Returns false if a newer statement of the agent has been read.
  static bool TakeStatement(LedgerAgent& agent, const AgentStatement& s);
  // Time in which this process could read the log, from the first record on.
  Duration ListeningTime(Time now) const;
  bool MayStart(const RunStarted& r) const;
  // Null: unknown job, occurrence, step or task.
  RunUnit* FindUnit(const TaskRef& task);
  const RunUnit* FindUnit(const TaskRef& task) const;
  // Frees the resources of a run. Returns false if the worker does not hold it.
  // A start of it that may still be carried out becomes a late one.
  bool ReleaseRun(LedgerWorker& worker, const TaskRef& task, std::int32_t run);
  // Updates the unit of a member that has ended or was not started.
  void RecordMemberEnd(const TaskRef& task,
                       std::int32_t run,
                       TaskOutcome outcome,
                       const std::string& checkpoint,
                       const LedgerWorker& worker);
  // The unit of the run waits for its late start, if it has one.
  void HoldUnit(LedgerAgent& agent, const RunRef& run, RunUnit& unit);
  void SetBegun(const std::string& job);
  // True if tasks of the unit run slower on the worker, because of where the
  // step's data or the other members are.
  bool IsRemote(const JobStep& step,
                const LedgerWorker& worker,
                const RunUnit& unit) const;
  // Tells the run-time model how long the run takes. No effect if the worker
  // does not hold it, or if the time is not stated.
  void LearnRunTime(Time now,
                    const LedgerWorker& worker,
                    const TaskRef& task,
                    std::int32_t run,
                    Duration run_time);
  void CountFailure(LedgerJob& job,
                    const JobStep& step,
                    RunUnit& unit,
                    const WorkerIncarnation& incarnation);
  void FinishUnit(LedgerJob& job, const TaskRef& task, RunUnit& unit);
  // A run that the worker does not hold any more has ended as done all the
  // same: so has its task, and a later run is stopped.
  bool FinishGivenAwayRun(const TaskEnded& r);
  // True if the task of a given-away run may start, or have started, after
  // this end of it.
  bool IsOvertaken(const TaskEnded& r) const;
  void StopMembers(const TaskRef& first, const RunUnit& unit);
  void EndJob(LedgerJob& job, JobPhase phase);
  static std::vector<RunRef> RunsOf(const LedgerWorker& worker);
  // The runs of the worker that have ended by the record.
  static std::vector<RunRef> EndedRuns(const LedgerWorker& worker,
                                       const WorkerEmptied& r);
  // Ends runs that the worker holds as if their leases had expired.
  void EndRuns(LedgerWorker& worker, const std::vector<RunRef>& runs);
  // Counts the crash for its machine and the tasks that may have caused it.
  void CountCrash(Time now, LedgerWorker& worker, const WorkerEmptied& r);
  // True if the crashes prove that the task causes them.
  bool IsToBlame(const TaskRef& task) const;
  // True if the agent's workers crash for reasons other than the task.
  bool CrashesWithout(const std::string& agent, const TaskRef& task) const;
  // True if workers of several machines have crashed under the task.
  bool HasCrashedMachines(const TaskRef& task) const;
  // Fails the jobs of tasks that crash the workers that run them.
  void FailCrashingJobs(const LedgerWorker& worker);

  std::map<std::string, LedgerJob> jobs_;
  std::set<std::string> open_jobs_;  // Not ended.
  // Jobs that were cancelled before their submission was read.
  std::set<std::string> early_cancels_;
  std::deque<std::string> ended_order_;  // Ended jobs, oldest first.
  std::map<WorkerIncarnation, LedgerWorker> workers_;
  std::map<std::string, LedgerAgent> agents_;
  std::map<std::string, EntryStarted> entries_;
  RunTimeModel run_times_;
  std::string planner_;
  std::int64_t planner_epoch_ = 0;
  Time planner_last_seen_at_{0};
  std::int64_t accepted_count_ = 0;
  std::int64_t rules_version_ = 0;
  std::int64_t ended_count_ = 0;  // Not replicated.
  // When the last record was read, and the listening time then. Not replicated.
  // 0: no record yet.
  Time last_record_at_{0};
  Duration listening_time_{0};
};

// The planner and each agent write more often than this. Without a record for
// longer, the log cannot be read or written.
inline constexpr Duration kMaxLogSilence{800};

// A job fails once workers of this many machines have crashed right after they
// had started one of its tasks. Machines whose workers also crash without the
// task are no evidence against it.
inline constexpr std::int32_t kMaxCrashedMachines = 3;

// The bound on crashes under one task, if fewer of its machines are evidence:
// for workers of sound machines, or of kMaxCrashedMachines of any kind.
inline constexpr std::int32_t kMaxCrashedWorkers = 5;

// From this many crashed workers on, a task runs on trial: see Dispatcher. The
// next crash is then certain to be its own, unless the machine is at fault.
inline constexpr std::int32_t kTrialCrashedWorkers = 2;

// Crashes that are remembered of a machine.
inline constexpr std::size_t kMaxCrashHistory = 8;

// Ended jobs that are kept for status queries. At 59,000 jobs a day this covers
// 8 hours.
inline constexpr std::size_t kMaxEndedJobs = 20'000;

// Cancellations that are kept for jobs not yet submitted. Beyond this limit the
// lowest id is dropped, which matters only if its submission is still in
// flight: that job runs.
inline constexpr std::size_t kMaxEarlyCancels = 10'000;

// Returns the task that identifies the unit: the task itself, or the first task
// of its gang.
TaskRef FirstTaskOfUnit(const LedgerJob& job, TaskRef task);

}  // namespace marjoramplank
