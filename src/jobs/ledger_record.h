#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/time.h"
#include "src/jobs/job_request.h"

namespace marjoramplank {

// Records of the ledger: the shared log that every entry and agent replays.
// Records are idempotent, so an append whose answer was lost is retried.

// One incarnation of a worker: a restarted worker may keep its id, and the
// start time distinguishes the incarnations.
struct WorkerIncarnation {
  std::string id;
  // Start time by the worker's clock, Unix ms.
  std::int64_t started_at_unix_ms = 0;

  friend auto operator<=>(const WorkerIncarnation&,
                          const WorkerIncarnation&) = default;
};
std::string ToString(const WorkerIncarnation& incarnation);  // "id@start time".

// One run of a task.
struct RunRef {
  TaskRef task;
  std::int32_t run = 1;
  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// Most runs that one record names, so that it fits into any log: a worker may
// have thousands. More are named by several records, each of them complete.
inline constexpr std::size_t kMaxRunsOfRecord = 128;
std::vector<std::vector<RunRef>> SplitRuns(const std::vector<RunRef>& runs);

struct JobSubmitted {
  JobRequest request;
  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

struct JobCancelled {
  std::string job;
  friend bool operator==(const JobCancelled&, const JobCancelled&) = default;
};

// Heartbeat of an agent. An agent renews leases only while a recent one of its
// heartbeats is on the log.
struct AgentHeartbeat {
  std::string agent;
  std::string process;  // Id of the agent's process; new at each start.
  // Greater than that of any process of the agent that was in the ledger when
  // this one first read it to its end. 0: by an earlier version.
  std::int64_t process_number = 0;
  // Age of the process when the heartbeat was sent. Negative: not stated, by an
  // earlier version.
  Duration uptime{-1};
  // The worker that this process of the agent has heard. Empty id: none. The
  // agent's own liveness says nothing about its worker.
  WorkerIncarnation heard_worker;
  // Age of the worker's last sign of life when the heartbeat was sent.
  // Negative: not stated, by an agent of an earlier version.
  Duration heard_ago{-1};
  friend bool operator==(const AgentHeartbeat&,
                         const AgentHeartbeat&) = default;
};

// An entry has started. Agents and entries may read the log through it.
struct EntryStarted {
  std::string entry;
  std::string data_centre;
  std::string relay_address;  // Address of its log relay, "IP:port".
  friend bool operator==(const EntryStarted&, const EntryStarted&) = default;
};

// Orders what an agent states about its worker. Times of day don't: a worker's
// clock may be set back between two incarnations.
struct AgentStatement {
  std::string process;      // Of the agent. Empty: by an earlier version.
  std::int64_t number = 0;  // Rises with each statement of the process.
  friend bool operator==(const AgentStatement&,
                         const AgentStatement&) = default;
};

// An agent's report of its worker: appended when the worker appears and when a
// field changes.
struct WorkerReported {
  std::string agent;
  WorkerIncarnation incarnation;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool accepting = true;          // False: draining or unreachable.
  std::int64_t leaves_in_ms = 0;  // While draining: least time left.
  AgentStatement statement;
  friend bool operator==(const WorkerReported&,
                         const WorkerReported&) = default;
};

// No task that was started on this incarnation runs any more: the worker has
// stopped, or every lease has expired.
struct WorkerEmptied {
  WorkerIncarnation incarnation;
  std::int64_t epoch = 0;  // Of the planner that decided. 0: its own agent.
  // The incarnation has ended and will not return.
  bool incarnation_ended = false;
  // Its process ended without having announced it, while its agent watched.
  bool crashed = false;
  // Which of its runs may have crashed it, at most kMaxRunsOfRecord. Empty:
  // none was started lately.
  std::vector<RunRef> suspects;
  // The runs that have ended, if the incarnation goes on: the worker may have
  // got others since this was decided, or other records name the rest. Empty:
  // all of them.
  std::vector<RunRef> runs;
  std::string reason;
  AgentStatement statement;  // Empty: of the planner.
  friend bool operator==(const WorkerEmptied&, const WorkerEmptied&) = default;
};

// The entry becomes the leader, which plans. Repeated with the same epoch as
// its heartbeat.
struct PlannerElected {
  std::string entry;
  std::int64_t epoch = 0;  // Higher than any before, or unchanged.
  friend bool operator==(const PlannerElected&,
                         const PlannerElected&) = default;
};

// The leader gives up its role.
struct PlannerResigned {
  std::string entry;
  std::int64_t epoch = 0;
  friend bool operator==(const PlannerResigned&,
                         const PlannerResigned&) = default;
};

// Worker of one task of a run.
struct MemberPlace {
  std::int32_t index = 0;  // Of the task within its step.
  WorkerIncarnation incarnation;
  friend bool operator==(const MemberPlace&, const MemberPlace&) = default;
};

// Decision of the planner: one task, or all tasks of a gang, start. `first` is
// the task or the gang's first task.
struct RunStarted {
  std::int64_t epoch = 0;
  TaskRef first;
  std::int32_t run = 1;  // Previous run number plus 1.
  std::vector<MemberPlace> members;
  std::string checkpoint;  // Empty: from the beginning.
  friend bool operator==(const RunStarted&, const RunStarted&) = default;
};

enum class StopCause {
  kReclaim,    // Preempted: a guarantee needs the resources.
  kEvacuated,  // The worker drains, or its data centre is closed.
  kStalled,    // The task makes no progress.
  kMigrated,   // It ends sooner on faster workers.
};
const char* ToString(StopCause cause);

// Decision of the planner: the run is stopped. Its unit starts again later.
struct RunStopped {
  std::int64_t epoch = 0;
  TaskRef first;
  std::int32_t run = 1;
  StopCause cause = StopCause::kReclaim;
  friend bool operator==(const RunStopped&, const RunStopped&) = default;
};

// Longest checkpoint that fits into any record.
inline constexpr std::size_t kMaxCheckpointBytes = 32 * 1024;

// How a run of a task ended.
enum class TaskOutcome {
  kDone,
  kFailed,        // By an error of the task or the worker.
  kStopped,       // By a stop call.
  kLeaseExpired,  // The worker's lease was not renewed in time.
  kAborted,       // Another member of the gang ended, or the start was refused.
  kGangTimedOut,  // The other members did not start within the gang timeout.
};
const char* ToString(TaskOutcome end);

// The end of a task's run, as its worker lists it.
struct TaskEnded {
  WorkerIncarnation incarnation;
  std::int64_t end_number = 0;  // Counts ended runs of the incarnation, from 1.
  TaskRef task;
  std::int32_t run = 1;
  TaskOutcome outcome = TaskOutcome::kDone;
  std::string checkpoint;
  // Of a run that did all of its work, by the agent's clock. 0: not stated.
  Duration run_time{0};
  friend bool operator==(const TaskEnded&, const TaskEnded&) = default;
};

// The start was refused: the run is not on that worker and cannot start there
// later.
struct StartRefused {
  WorkerIncarnation incarnation;
  TaskRef task;
  std::int32_t run = 1;
  std::string reason;
  friend bool operator==(const StartRefused&, const StartRefused&) = default;
};

// A start of the run had no answer and was not carried out so far. It may still
// be, seconds later and by any incarnation under the worker's id. Stored before
// the run is started again or ends, so that a later process of the agent knows.
struct StartUnanswered {
  WorkerIncarnation incarnation;
  TaskRef task;
  std::int32_t run = 1;
  friend bool operator==(const StartUnanswered&,
                         const StartUnanswered&) = default;
};

// No start of these runs, which have ended, can be carried out any more: see
// LateStart.
struct StartsExpired {
  std::string agent;
  std::int64_t epoch = 0;    // Of the planner that decided. 0: the agent.
  std::vector<RunRef> runs;  // At most kMaxRunsOfRecord.
  AgentStatement statement;  // Empty: of the planner.
  friend bool operator==(const StartsExpired&, const StartsExpired&) = default;
};

// Progress of a running task, appended when the planner needs to know it.
struct RunObserved {
  WorkerIncarnation incarnation;
  TaskRef task;
  std::int32_t run = 1;
  std::int32_t percent = 0;  // Of its work done.
  bool stalled = false;      // No progress for the stall time.
  std::string checkpoint;    // Newest.
  // Time for all of its work at the speed of its progress. 0: not stated.
  Duration projected_run_time{0};
  friend bool operator==(const RunObserved&, const RunObserved&) = default;
};

// What open jobs know of their queue.
struct JobQueue {
  QueueAddress address;
  std::string queue;
  std::string service;
  friend auto operator<=>(const JobQueue&, const JobQueue&) = default;
};
JobQueue QueueOf(const JobRequest& request);

// Decision of the planner: a configuration has renamed the queue of open jobs,
// or has moved it to another service or address. The jobs follow it: their
// tasks start there from now on. Runs go on where they are.
struct QueueChanged {
  std::int64_t epoch = 0;
  std::int64_t rules_version = 0;  // Of the configuration. Never falls.
  JobQueue before;                 // Of the jobs that it is about.
  JobQueue after;
  friend bool operator==(const QueueChanged&, const QueueChanged&) = default;
};

using LedgerRecord = std::variant<JobSubmitted,
                                  JobCancelled,
                                  AgentHeartbeat,
                                  EntryStarted,
                                  WorkerReported,
                                  WorkerEmptied,
                                  PlannerElected,
                                  PlannerResigned,
                                  RunStarted,
                                  RunStopped,
                                  TaskEnded,
                                  StartRefused,
                                  RunObserved,
                                  QueueChanged,
                                  StartUnanswered,
                                  StartsExpired>;

// Removes the checkpoint, which is the one part of a record that the task can
// do without: it starts from the beginning. Returns false if there is none.
bool DropCheckpoint(LedgerRecord& record);

}  // namespace marjoramplank
