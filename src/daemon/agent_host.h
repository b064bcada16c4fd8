#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "src/agent/agent_core.h"
#include "src/daemon/event_loop.h"
#include "src/daemon/http_server.h"
#include "src/daemon/settings.h"
#include "src/observability/metrics.h"
#include "src/observability/span.h"
#include "src/services/worker_service.h"
#include "src/wire/peer_hub.h"

namespace marjoramplank {

// Runs an agent: owns the event loop with the state machine and the
// connections, and the threads that call the worker's endpoint.
class AgentHost {
 public:
  explicit AgentHost(AgentSettings settings);
  ~AgentHost();

  std::string http_address() const { return http_->address(); }

  // Graceful shutdown: accepts no new tasks, and waits until the running tasks
  // have ended and an entry has collected their answers. Returns false if the
  // shutdown timeout expired first.
  bool ShutDown();

 private:
  // A task that was sent to the worker, or found there by the first listing.
  struct TrackedTask {
    bool has_ended = false;
    Time started_at{0};  // For a task found by a listing: time of the listing.
    std::string traceparent;
    std::int64_t missed_listings = 0;  // Consecutive listings without the task.
  };

  Time Now() const;
  // Passes the input to the state machine and handles its outputs. On the
  // loop's thread.
  void Step(const AgentInput& input);
  // Sends a message, or queues a command for the command thread.
  void HandleOutput(AgentOutput output);
  void SendSpan(const TaskKey& key,
                const TrackedTask& task,
                const std::string& end_state);
  // Follows the entry addresses that the heartbeat carries.
  void OnEntryHeartbeat(const EntryHeartbeat& heartbeat);
  kj::Promise<void> TickLoop();
  void CommandLoop();  // Body of the command thread.
  void ListLoop();     // Body of the listing thread.
  void Execute(WorkerService& worker, const AgentOutput& command);
  // Compares a listing with the tracked tasks and reports those that have ended
  // or are lost. On the loop's thread, like OnListFailed().
  void OnListing(const WorkerService::Listing& listing);
  // Reports the tasks as lapsed once the worker has not answered for too long.
  void OnListFailed();
  HttpResponse HandleRequest(const HttpRequest& request);
  std::unique_ptr<WorkerService> MakeWorkerService() const;

  AgentSettings settings_;
  std::chrono::steady_clock::time_point start_time_ =
      std::chrono::steady_clock::now();
  ProcessId self_;
  Metrics metrics_;
  EventLoop loop_;

  // Used only on the loop's thread.
  std::unique_ptr<AgentCore> core_;
  std::unique_ptr<PeerHub> hub_;
  kj::Maybe<kj::Promise<void>> tick_loop_;
  std::map<TaskKey, TrackedTask> tracked_tasks_;
  bool has_listing_ = false;  // The worker's tasks were listed at least once.
  Time last_listing_at_{0};

  std::mutex work_mutex_;  // Guards the command queue.
  std::condition_variable work_ready_;
  std::deque<AgentOutput> command_queue_;
  std::atomic<bool> is_stopping_{false};
  std::thread command_thread_;
  std::thread list_thread_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace marjoramplank
