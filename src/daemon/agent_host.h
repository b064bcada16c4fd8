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
// connections, and the threads that talk to the endpoint beside it.
class AgentHost {
 public:
  explicit AgentHost(AgentSettings settings);
  ~AgentHost();

  std::string http_address() const { return http_->address(); }

  // Graceful shutdown: takes no new work, waits for running tasks and until
  // their answers are collected. Returns false if the shutdown timeout passed
  // first.
  bool ShutDown();

 private:
  // A task given to the worker.
  struct WatchedTask {
    bool over = false;
    Time started{0};
    std::string traceparent;
    std::int64_t missing = 0;  // Listings in a row that do not show it.
  };

  Time Now() const;
  void Step(const AgentInput& input);  // On the loop's thread.
  void CarryOut(AgentOutput output);
  void SendSpan(const TaskKey& key,
                const WatchedTask& task,
                const std::string& end);
  void OnBeat(const EntryBeat& beat);
  kj::Promise<void> TickLoop();
  void CommandLoop();
  void ListLoop();
  void Execute(WorkerService& worker, const AgentOutput& command);
  void OnListing(
      const WorkerService::Listing& listing);  // On the loop's thread.
  void OnWorkerSilent();
  HttpResponse Handle(const HttpRequest& request);
  std::unique_ptr<WorkerService> NewWorkerService() const;

  AgentSettings settings_;
  std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
  ProcessId self_;
  Metrics metrics_;
  EventLoop loop_;
  std::unique_ptr<AgentCore>
      core_;  // On the loop's thread, like the members below.
  std::unique_ptr<PeerHub> hub_;
  kj::Maybe<kj::Promise<void>> ticking_;
  std::map<TaskKey, WatchedTask> watched_;
  bool listed_ = false;
  Time worker_heard_{0};

  std::mutex work_mutex_;
  std::condition_variable work_ready_;
  std::deque<AgentOutput> commands_;
  std::atomic<bool> stopping_{false};
  std::thread command_thread_;
  std::thread list_thread_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace marjoramplank
