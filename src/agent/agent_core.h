#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/inventory.h"
#include "src/agent/start_guard.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// State machine of the agent, the process beside a worker's endpoint. It alone
// grants the endpoint's resources, so two planners can never double-book them.
// It uses no sockets, threads or clocks: a host passes inputs to Step() and
// carries out the outputs.

struct AgentOptions {
  ProcessId id;             // Worker name and this process run. Required.
  std::string data_centre;  // Required.
  std::int32_t cores = 0;   // Limits of the endpoint.
  std::int32_t memory_mb = 0;
  std::int32_t accelerators = 0;
  std::int32_t slots = 8;
  Duration report_interval = 500ms;  // Heartbeat.
  Duration freshness_window = 2s;    // See StartGuard.
  // Tasks of a gang that spans several workers are stopped after no entry has
  // sent a message for this long.
  Duration orphan_timeout = 20s;
  Duration answer_resend_interval = 1s;  // Of answers not acknowledged yet.
  Duration renew_interval = 1s;          // Of the tasks' leases at the worker.
  // Closed attempts remembered; the oldest are evicted.
  std::size_t max_closed_attempts = 65'536;
};

// Identifies a task. The worker stores it with the task, so it survives a
// restart of the agent.
struct TaskKey {
  std::string job;
  std::int32_t attempt = 0;
  std::int32_t task = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

// ---- Inputs

struct EntryMessage {
  std::string entry;  // Instance name of the sender.
  Message message;
};
struct EntryDisconnected {  // The connection to an entry was closed.
  std::string entry;
};
struct EntryConnected {  // A connection to an entry was established.
  std::string entry;
};
struct StartResult {  // The worker's reply to StartTask.
  TaskKey key;
  bool accepted = false;
  std::string reason;  // Why it was refused.
};
struct TaskEnded {  // A task has ended at the worker.
  TaskKey key;
  TaskState state = TaskState::kSucceeded;
  std::string answer;  // Result, for kSucceeded.
  std::string reason;  // For the other states.
};
struct FoundTask {  // A task that the worker had when the agent started.
  TaskKey key;
  std::int32_t gang_tasks = 1;
  std::uint32_t accelerator_mask = 0;
  TaskShape shape;
  TaskState state = TaskState::kRunning;
  std::string answer;
  std::string reason;
};
// The worker's tasks were listed after the start of the agent. The agent grants
// nothing before.
struct WorkerTasksListed {
  std::vector<FoundTask> tasks;
};
// The endpoint, or an operator by SIGTERM, wants no more new work.
struct WorkerLeaving {
  bool leaving = true;
};
struct Tick {};

using AgentInput = std::variant<EntryMessage,
                                EntryDisconnected,
                                EntryConnected,
                                StartResult,
                                TaskEnded,
                                WorkerTasksListed,
                                WorkerLeaving,
                                Tick>;

// ---- Outputs

struct SendToEntry {
  std::string entry;  // Empty: to all connected entries.
  Message message;
};
struct StartTask {
  TaskKey key;
  std::int32_t gang_tasks = 1;
  std::uint32_t accelerator_mask = 0;
  TaskShape shape;
  std::string payload;
  std::string traceparent;
};
struct StopTask {
  TaskKey key;
  bool checkpoint = false;
  Duration bound{0};
};
struct RenewLeases {
  std::vector<TaskKey> keys;
};
struct RemoveTask {  // The answer is stored: the worker may delete the task.
  TaskKey key;
};

using AgentOutput =
    std::variant<SendToEntry, StartTask, StopTask, RenewLeases, RemoveTask>;

class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);

  std::vector<AgentOutput> Step(Time now, const AgentInput& input);

  // Returns true if nothing is granted, running or waiting to be collected.
  bool IsIdle() const { return grants_.empty(); }
  std::int64_t config_version() const { return start_guard_.config_version(); }
  std::size_t active_tasks() const;  // Number of tasks starting or running.

 private:
  struct Task {
    TaskPlacement placement;
    TaskState state = TaskState::kHeld;
    std::string answer;
    std::string reason;
  };
  struct Grant {
    std::string job;
    std::int32_t attempt = 0;
    std::string granted_by;  // Entry process, "name#incarnation".
    std::string controller;  // Entry instance that the answers are sent to.
    TaskShape shape;
    std::vector<Task> tasks;
    std::int32_t gang_tasks = 1;
    std::string payload;
    std::string traceparent;
    Time expires_at = kNever;  // Of an uncommitted grant.
    bool is_committed = false;
    bool commit_reply_sent = false;  // The start was confirmed.
    bool is_stopping = false;
    bool is_checkpointing = false;
    std::set<std::string> stop_requesters;  // Entries that expect a StopReply.
    Time answers_sent_at{-1};               // Negative: never.
  };
  using AttemptKey = std::pair<std::string, std::int32_t>;

  void OnMessage(Time now, const std::string& from, const Message& message);
  void OnPrepare(Time now, const std::string& from, const Prepare& m);
  void OnCommit(Time now, const std::string& from, const Commit& m);
  void OnStop(Time now, const std::string& from, const Stop& m);
  void OnCollect(Time now, const std::string& from, const Collect& m);
  void OnForget(const Forget& m);
  void OnStartResult(Time now, const StartResult& r);
  void OnTaskEnded(Time now, const TaskEnded& e);
  void OnWorkerListed(Time now, const WorkerTasksListed& listed);
  void OnTick(Time now);

  std::string PrepareRefusalReason(Time now, const Prepare& m) const;
  bool HasCapacity(const Prepare& m) const;
  void SendCommitReply(Grant& grant, bool started, const std::string& reason);
  void StopGrant(Grant& grant, bool checkpoint, Duration checkpoint_timeout);
  void CloseAttempt(const AttemptKey& key, StopVerdict verdict);
  void SendStopReplies(Grant& grant);
  void SendAnswers(Time now, Grant& grant);
  void DropGrant(const AttemptKey& key);
  void SendReport(Time now);
  Task* FindTask(const TaskKey& key, Grant** grant);
  static bool AllTasksOver(const Grant& grant);
  static StopVerdict StopVerdictOf(const Grant& grant);

  AgentOptions options_;
  StartGuard start_guard_;
  std::map<AttemptKey, Grant> grants_;
  // Attempts that have ended or were ruled out. They are never started again.
  std::map<AttemptKey, StopVerdict> closed_attempts_;
  std::deque<AttemptKey> closed_attempts_order_;  // Oldest first.
  bool closed_attempts_evicted_ = false;  // Closed attempts were evicted.
  bool tasks_listed_ = false;             // The worker has listed its tasks.
  bool is_leaving_ = false;
  bool report_due_ = false;  // Send a report at the end of this step.
  std::uint64_t report_sequence_ = 0;
  Time last_report_at_{-1'000'000};
  Time last_renewal_at_{-1'000'000};
  Time last_entry_message_at_{0};  // From any entry.
  std::vector<AgentOutput> out_;
};

}  // namespace marjoramplank
