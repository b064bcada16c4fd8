#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "src/daemon/event_loop.h"
#include "src/daemon/http_server.h"
#include "src/daemon/rcu_value.h"
#include "src/daemon/settings.h"
#include "src/entry/entry_core.h"
#include "src/services/log_service.h"
#include "src/wire/peer_hub.h"

namespace marjoramplank {

// Runs an entry: owns the event loop with the state machine and the
// connections, the threads that call the platform's log service, and the HTTP
// server.
class EntryHost {
 public:
  explicit EntryHost(EntrySettings settings);
  ~EntryHost();

  std::string http_address() const { return http_->address(); }
  const std::string& rpc_address() const { return rpc_address_; }

  // Graceful shutdown: answers every open request, waits for pending appends to
  // the log and leaves the membership. Returns false if the shutdown timeout
  // expired first.
  bool ShutDown();

 private:
  struct PendingCall {
    std::promise<Reply> reply;
  };

  Time Now() const;
  // Passes the input to the state machine and handles its outputs. On the
  // loop's thread.
  void Step(const EntryInput& input);
  // Sends, publishes, logs, completes a call, or queues work for a log thread.
  void HandleOutput(EntryOutput output);
  kj::Promise<void> TickLoop();
  void TailLoop();    // Body of the thread that reads the end of the log.
  void AppendLoop();  // Body of the thread that appends to the log.
  void FetchLoop();   // Body of the thread that reads single records again.
  HttpResponse HandleRequest(const HttpRequest& request);
  // Passes a request to the state machine and waits for its reply. Returns
  // status 504 if there is none a few seconds after the timeout.
  HttpResponse CallCore(
      const std::function<EntryInput(CallToken, Time deadline)>& make_input,
      Duration timeout);
  HttpResponse HandleSubmit(const HttpRequest& request);
  HttpResponse HandlePublishConfig(const HttpRequest& request);
  HttpResponse HandleJob(const HttpRequest& request,
                         const std::string& job_path);
  std::unique_ptr<LogService> MakeLogService(Duration timeout) const;

  EntrySettings settings_;
  std::chrono::steady_clock::time_point start_time_ =
      std::chrono::steady_clock::now();
  ProcessId self_;
  Metrics metrics_;
  RcuValue<ConfigSnapshot> config_;
  EventLoop loop_;
  std::string rpc_address_;

  // Used only on the loop's thread.
  std::unique_ptr<EntryCore> core_;
  std::unique_ptr<PeerHub> hub_;
  kj::Maybe<kj::Promise<void>> tick_loop_;

  std::mutex pending_calls_mutex_;  // Guards the calls that wait for a reply.
  std::unordered_map<CallToken, std::promise<Reply>> pending_calls_;
  std::atomic<CallToken> next_token_{1};

  std::mutex work_mutex_;  // Guards the two queues below.
  std::condition_variable work_ready_;
  std::deque<AppendBatch> append_queue_;
  std::deque<FetchRecord> fetch_queue_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<Offset> next_offset_{0};  // Of the next read of the log's tail.

  std::thread tail_thread_;
  std::thread append_thread_;
  std::thread fetch_thread_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace marjoramplank
