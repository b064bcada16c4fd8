#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Calls to a worker and its answers. Every call names the life it is meant for
// and carries a fence: the worker does nothing for a call whose fence is below
// the highest that it has seen.

struct StartCall {
  WorkerLife life;
  std::int64_t fence = 0;
  TaskRef task;
  std::int32_t run = 1;
  std::string payload;
  std::string checkpoint;        // Empty: from the beginning.
  std::int64_t lease_until = 0;  // Worker's clock, ms. Extends every lease.

  friend bool operator==(const StartCall&, const StartCall&) = default;
};

struct StopCall {
  WorkerLife life;
  std::int64_t fence = 0;
  TaskRef task;
  std::int32_t run = 1;

  friend bool operator==(const StopCall&, const StopCall&) = default;
};

// Lists what runs and what ended, and may extend every lease.
struct HoldCall {
  WorkerLife life;
  std::int64_t fence = 0;
  std::int64_t seen_end = 0;  // Ends up to this number may be forgotten.
  std::optional<std::int64_t> lease_until;  // Worker's clock, ms.
  Duration wait{0};      // For an end that is not listed yet.
  bool settles = false;  // Its answer decides starts that had no answer.

  friend bool operator==(const HoldCall&, const HoldCall&) = default;
};

using OrderCall = std::variant<StartCall, StopCall>;

struct OrderReply {
  enum class Kind {
    kDone,
    kRefused,      // Not done, and not possible as asked: `reason`.
    kOutdated,     // Not done: the lease time had passed, or a newer fence is
                   // known.
    kEndedBefore,  // Not done: this run, or a later one, has been there.
    kUnhealthy,    // Not done: the worker is not well.
    kWrongLife,    // Not done: another life answers there.
    kNoAnswer,     // It may be done, also later.
  };
  Kind kind = Kind::kNoAnswer;
  std::string reason;
  std::optional<std::int64_t> clock_ms;  // Worker's clock.
};

struct RunningTask {
  TaskRef task;
  std::int32_t run = 1;
  std::string checkpoint;
  std::int32_t percent = 0;  // Of its work.
};

struct HoldReply {
  enum class Kind { kOk, kRefused, kOutdated, kWrongLife, kNoAnswer };
  Kind kind = Kind::kNoAnswer;
  std::string reason;
  std::optional<std::int64_t> clock_ms;
  std::vector<RunningTask> running;
  std::vector<TaskEnded> ended;  // `life` is left to the caller.
};

// What a worker says of itself in a heartbeat.
struct WorkerHeartbeat {
  WorkerLife life;
  std::string service;
  std::string data_centre;
  std::string address;  // Where it takes calls.
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool leaving = false;
  std::int64_t leaves_in_ms = 0;
  std::int64_t sequence = 0;  // Rises with each heartbeat of a life.
  std::optional<std::int64_t> clock_ms;
};

// One connection to a worker. Not thread-safe. Calls block for at most `limit`.
class TaskEndpoint {
 public:
  virtual ~TaskEndpoint() = default;

  virtual OrderReply Start(const StartCall& call, Duration limit) = 0;
  virtual OrderReply Stop(const StopCall& call, Duration limit) = 0;
  virtual HoldReply Hold(const HoldCall& call, Duration limit) = 0;
};

}  // namespace marjoramplank
