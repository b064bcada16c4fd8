#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Calls to a worker and its replies. Every call names the incarnation of the
// worker that it is meant for (`incarnation`) and carries a fencing token
// (`fence`): the worker ignores a call whose token is below the highest it has
// seen.

struct StartCall {
  WorkerIncarnation incarnation;
  std::int64_t fence = 0;
  TaskRef task;
  std::int32_t run = 1;
  std::string payload;
  std::string checkpoint;  // To resume from. Empty: from the beginning.
  // Expiry of the lease, ms on the worker's clock. Extends the leases of all
  // tasks on the worker.
  std::int64_t lease_until = 0;
  // The agent's permission to start the task ends then, by this machine's
  // clock. A process that was paused must not send the call afterwards. Not
  // sent to the worker.
  Time send_before = kNever;

  friend bool operator==(const StartCall&, const StartCall&) = default;
};

struct StopCall {
  WorkerIncarnation incarnation;
  std::int64_t fence = 0;
  TaskRef task;
  std::int32_t run = 1;
  // The ledger does not give the run to the worker any more, so the task may be
  // at work elsewhere. Not sent to the worker.
  bool is_given_away = false;

  friend bool operator==(const StopCall&, const StopCall&) = default;
};

// Lists running and ended tasks, and may extend the leases of all tasks. A long
// poll: answered when a task ends that is not listed yet, or after `wait`.
struct HoldCall {
  WorkerIncarnation incarnation;
  std::int64_t fence = 0;
  // Acknowledges ends up to this number; the worker may forget them.
  std::int64_t acked_end = 0;
  // New expiry of the leases, ms on the worker's clock. Empty: not extended.
  std::optional<std::int64_t> lease_until;
  // The agent's permission to extend the leases ends then, by this machine's
  // clock. A process that was paused must send the call without them. Not sent
  // to the worker.
  Time renew_before = kNever;
  Duration wait{0};  // Longest wait for an end that is not listed yet.
  // The reply decides whether starts that had no reply were carried out. Not
  // sent to the worker.
  bool resolves_in_doubt = false;
  // Meant for whichever incarnation answers under the id: it shows whether the
  // one that has restarted there got starts that were meant for the one before.
  // Not sent to the worker.
  bool settles_late_starts = false;
  // Asks whether this incarnation lives; the lists of the reply are not used.
  // Not sent to the worker.
  bool verifies_incarnation = false;

  friend bool operator==(const HoldCall&, const HoldCall&) = default;
};

using TaskCommand = std::variant<StartCall, StopCall>;

// Reply to a start or stop.
struct CommandReply {
  enum class Kind {
    kDone,
    // Not carried out, and not possible as requested; see `reason`.
    kRefused,
    // Not carried out: the lease had expired already, or the worker has seen a
    // higher fencing token.
    kStale,
    // Not carried out: the worker has had this run, or a later one, before.
    kAlreadyRan,
    // Not carried out: the worker is unhealthy.
    kUnhealthy,
    // Not carried out: another incarnation of the worker answered.
    kWrongIncarnation,
    // Not carried out: the connection to the worker failed.
    kNotSent,
    // Not carried out: no process listens at the worker's address.
    kConnectionRefused,
    // In doubt: it may have been carried out, or may still be.
    kNoAnswer,
  };
  Kind kind = Kind::kNoAnswer;
  std::string reason;
  std::optional<std::int64_t> clock_ms;  // Worker's clock.
};

struct RunningTask {
  TaskRef task;
  std::int32_t run = 1;
  std::string checkpoint;    // Newest. Empty: none.
  std::int32_t percent = 0;  // Progress.
};

struct HoldReply {
  enum class Kind {
    kOk,
    kRefused,
    kStale,             // The worker has seen a higher fencing token.
    kWrongIncarnation,  // Another incarnation of the worker answered.
    kNotSent,           // The connection to the worker failed.
    // No process listens at the worker's address.
    kConnectionRefused,
    kNoAnswer,  // May have been carried out, or may still be.
  };
  Kind kind = Kind::kNoAnswer;
  std::string reason;
  // Start time of the incarnation that answered. Empty: not stated.
  std::optional<std::int64_t> started_at_unix_ms;
  std::optional<std::int64_t> clock_ms;  // Worker's clock.
  std::vector<RunningTask> running;
  std::vector<TaskEnded> ended;  // The caller fills in `incarnation`.
  // Rows of both lists that name a task and could not be read otherwise. A
  // task that is not listed may be in one of them.
  std::int32_t unreadable_rows = 0;
};

// Contents of a worker's heartbeat.
struct WorkerHeartbeat {
  WorkerIncarnation incarnation;
  std::string service;
  std::string data_centre;
  std::string address;  // Of the worker's endpoint.
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool leaving = false;                  // About to leave; gets no new tasks.
  std::int64_t leaves_in_ms = 0;         // While leaving: least time left.
  std::int64_t sequence = 0;             // Rises with each heartbeat.
  std::optional<std::int64_t> clock_ms;  // Worker's clock.
};

// Connection to a worker's endpoint. Not thread-safe. Calls block for at most
// `timeout`.
class TaskEndpoint {
 public:
  virtual ~TaskEndpoint() = default;

  virtual CommandReply Start(const StartCall& call, Duration timeout) = 0;
  virtual CommandReply Stop(const StopCall& call, Duration timeout) = 0;
  virtual HoldReply Hold(const HoldCall& call, Duration timeout) = 0;
};

}  // namespace marjoramplank
