#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/job_spec.h"
#include "marjoramplank/placement.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// Messages between the processes of the system. Any of them may be lost,
// duplicated, delayed or reordered: the state machines that exchange them
// resend what matters and ignore what is outdated.

// Identifies one run of an instance's process.
struct ProcessId {
  std::string name;               // Of the instance; survives a restart.
  std::uint64_t incarnation = 0;  // Differs after each restart.

  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

// Returns "name#incarnation".
std::string ToString(const ProcessId& id);

// State of a task on its agent. States from kSucceeded on are terminal.
enum class TaskState : std::uint8_t {
  kHeld,      // Resources are granted; the grant is not committed.
  kStarting,  // Committed; the worker has been asked to start the task.
  kRunning,
  kSucceeded,     // The entry has not yet acknowledged the result.
  kFailed,        // Failed without having been stopped.
  kCheckpointed,  // Stopped on request, progress saved.
  kStopped,       // Stopped on request, progress lost.
  kLapsed,  // The lease at the worker expired, or the worker lost the task.
};

// Returns the name used in JSON and logs: "held", ..., "lapsed".
const char* ToString(TaskState state);

// Returns true for the terminal states.
inline bool IsTerminalTaskState(TaskState s) {
  return s >= TaskState::kSucceeded;
}

// One task of an agent report.
struct TaskReport {
  std::string job;                     // Job id.
  std::int32_t attempt = 0;            // Attempt of the job.
  std::int32_t task = 0;               // Index in the gang.
  std::uint32_t accelerator_mask = 0;  // Bit i: accelerator i of the worker.
  TaskState state = TaskState::kHeld;
  std::string reason;  // Why it failed or its lease expired.

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

// Agent to entry: heartbeat with the full state of the agent, also sent after
// every change. A task that is not listed does not exist on the agent.
struct AgentReport {
  ProcessId agent;                   // Its name is that of the worker.
  std::string data_centre;           // Of the worker.
  std::uint64_t sequence = 0;        // Increases with each report of the agent.
  std::int64_t sent_at = 0;          // Agent's clock, ms. The reply returns it.
  bool draining = false;             // Drains: accepts no new work.
  std::int64_t config_version = -1;  // Latest version known. -1: none.
  std::vector<TaskReport> tasks;

  friend bool operator==(const AgentReport&, const AgentReport&) = default;
};

// Entry to agent: heartbeat in reply to each report.
struct EntryHeartbeat {
  ProcessId entry;
  // `sent_at` of the report that this replies to, ms.
  std::int64_t echoed_sent_at = 0;
  // The entry's configuration is known to be the latest.
  bool config_fresh = false;
  std::int64_t config_version = -1;
  bool data_centre_out = false;  // The agent's data centre is out of service.
  bool cordoned = false;         // The agent's worker accepts no new tasks.
  std::vector<std::string> entry_addresses;  // RPC addresses of all entries.

  friend bool operator==(const EntryHeartbeat&,
                         const EntryHeartbeat&) = default;
};

// Entry to agent: reserve resources for the tasks of an attempt, the first
// phase of a gang start. The reservation is called a grant.
struct Prepare {
  std::string job;
  std::int32_t attempt = 0;
  ProcessId entry;
  std::uint64_t agent_incarnation = 0;  // Any other incarnation refuses.
  TaskShape shape;
  std::vector<TaskPlacement> tasks;  // Tasks for this worker.
  std::int32_t gang_tasks = 1;       // Tasks of the whole gang.
  std::string payload;
  // The grant expires, by the agent's clock, unless it is committed within this
  // time.
  Duration ttl{0};
  std::string traceparent;  // W3C trace context.

  friend bool operator==(const Prepare&, const Prepare&) = default;
};

// Agent to entry: whether the resources are granted.
struct PrepareReply {
  ProcessId agent;
  std::string job;
  std::int32_t attempt = 0;
  bool held = false;
  std::string reason;  // Why they are not.

  friend bool operator==(const PrepareReply&, const PrepareReply&) = default;
};

// Entry to agent: start the tasks of a grant, the second phase of a gang start.
struct Commit {
  std::string job;
  std::int32_t attempt = 0;
  ProcessId entry;
  std::uint64_t agent_incarnation = 0;

  friend bool operator==(const Commit&, const Commit&) = default;
};

// Agent to entry. If `started` is false, no task of the attempt has started on
// this agent, and none ever will.
struct CommitReply {
  ProcessId agent;
  std::string job;
  std::int32_t attempt = 0;
  bool started = false;
  std::string reason;

  friend bool operator==(const CommitReply&, const CommitReply&) = default;
};

// Entry to agent: end the attempt, whatever its state. StopReply follows once
// no task of it runs.
struct Stop {
  std::string job;
  std::int32_t attempt = 0;
  bool checkpoint = false;         // Save progress first.
  Duration checkpoint_timeout{0};  // Longest wait for the checkpoint, ms.

  friend bool operator==(const Stop&, const Stop&) = default;
};

// Result of an attempt on one agent.
enum class StopVerdict : std::uint8_t {
  // The attempt has not started and never will: this incarnation of the agent
  // has handled all of it.
  kNeverStarted,
  kStopped,
  kCheckpointed,
  kSucceeded,  // It had succeeded before the stop.
  kFailed,
  // No task of the attempt runs, and the agent has no record of it, for example
  // after a restart.
  kUnknown,
};

// Agent to entry: the attempt has ended here.
struct StopReply {
  ProcessId agent;
  std::string job;
  std::int32_t attempt = 0;
  StopVerdict verdict = StopVerdict::kUnknown;

  friend bool operator==(const StopReply&, const StopReply&) = default;
};

// Agent to entry: the result of one task, resent until it is acknowledged.
struct TaskResult {
  ProcessId agent;
  std::string job;
  std::int32_t attempt = 0;
  std::int32_t task = 0;
  std::string data;

  friend bool operator==(const TaskResult&, const TaskResult&) = default;
};

// Entry to agent: send the task results of the attempt to this entry from now
// on. Sent by an entry that takes over the region.
struct Collect {
  std::string job;
  std::int32_t attempt = 0;
  ProcessId entry;

  friend bool operator==(const Collect&, const Collect&) = default;
};

// Entry to agent: the outcome is stored; delete the state of the attempt. Also
// acknowledges its task results.
struct Forget {
  std::string job;
  std::int32_t attempt = 0;

  friend bool operator==(const Forget&, const Forget&) = default;
};

// Entry to entry: heartbeat, several times a second.
struct PeerHeartbeat {
  ProcessId entry;           // Sender.
  std::string address;       // RPC address of the sender.
  std::int64_t sent_at = 0;  // Sender's clock, ms.
  // `sent_at` of the receiver's latest heartbeat, ms.
  std::int64_t echoed_sent_at = 0;
  bool log_visible = false;  // The sender can read the log.
  // Offset of the last log record it has applied.
  std::int64_t log_position = -1;
  std::int64_t config_version = -1;
  std::vector<std::string> owned_regions;  // Regions that it plans.
  bool shutting_down = false;              // It is shutting down.

  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

// Queries that only the entry that plans the region can answer.
enum class QueryKind : std::uint8_t { kExplain, kStatus, kSpans };

// Entry to entry.
struct Query {
  std::uint64_t id = 0;  // Repeated in the reply.
  ProcessId entry;       // Sender.
  QueryKind kind = QueryKind::kStatus;
  std::string subject;  // Job id, for kExplain and kSpans.

  friend bool operator==(const Query&, const Query&) = default;
};

struct QueryReply {
  std::uint64_t id = 0;
  std::string body;  // JSON text.

  friend bool operator==(const QueryReply&, const QueryReply&) = default;
};

// Agent to entry: finished trace spans, one JSON object each.
struct SpanBatch {
  std::vector<std::string> spans;

  friend bool operator==(const SpanBatch&, const SpanBatch&) = default;
};

using Message = std::variant<AgentReport,
                             EntryHeartbeat,
                             Prepare,
                             PrepareReply,
                             Commit,
                             CommitReply,
                             Stop,
                             StopReply,
                             TaskResult,
                             Collect,
                             Forget,
                             PeerHeartbeat,
                             Query,
                             QueryReply,
                             SpanBatch>;

}  // namespace marjoramplank
