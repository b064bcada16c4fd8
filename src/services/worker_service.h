#pragma once

#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "src/agent/agent_core.h"

namespace marjoramplank {

// Interface of an agent to its worker's endpoint. Each wire protocol is one
// implementation.
class WorkerService {
 public:
  // The worker's tasks at one moment.
  struct Listing {
    std::int64_t version = 0;  // Changes whenever a task's state does.
    bool leaving = false;      // The endpoint wants no more new work.
    std::vector<FoundTask> tasks;
  };
  enum class StartOutcome { kStarted, kRefused, kUnknown };
  struct StartReply {
    StartOutcome outcome = StartOutcome::kUnknown;
    std::string reason;
  };

  virtual ~WorkerService() = default;

  // Starts a task under a lease. Idempotent.
  virtual StartReply Start(const StartTask& task, Duration lease) = 0;

  // The next three return false unless the endpoint has confirmed the call.
  virtual bool Stop(const StopTask& task) = 0;
  virtual bool Renew(const std::vector<TaskKey>& keys, Duration lease) = 0;
  virtual bool Remove(const TaskKey& key) = 0;

  // Lists the tasks once their version differs from `known_version`, or after
  // `wait` at the latest.
  virtual Result<Listing> List(std::int64_t known_version, Duration wait) = 0;
};

}  // namespace marjoramplank
