#pragma once

#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "src/agent/agent_core.h"

namespace marjoramplank {

// A worker's endpoint, as the agent beside it uses it. A new wire protocol is
// one new implementation.
class WorkerService {
 public:
  // Tasks of the worker at one moment.
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

  // Starts a task under a lease. Repeating the call for a task that is there
  // has no effect.
  virtual StartReply Start(const StartTask& task, Duration lease) = 0;
  virtual bool Stop(const StopTask& task) = 0;  // False: no answer.
  virtual bool Renew(const std::vector<TaskKey>& keys, Duration lease) = 0;
  virtual bool Remove(const TaskKey& key) = 0;
  // Lists the tasks once their version differs from `known`, or `wait` has
  // passed.
  virtual Result<Listing> List(std::int64_t known, Duration wait) = 0;
};

}  // namespace marjoramplank
