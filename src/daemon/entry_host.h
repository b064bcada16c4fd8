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
#include "src/daemon/published.h"
#include "src/daemon/settings.h"
#include "src/entry/entry_core.h"
#include "src/services/log_service.h"
#include "src/wire/peer_hub.h"

namespace marjoramplank {

// Runs an entry: owns the event loop with the state machine and the
// connections, the threads that talk to the platform's log, and the HTTP
// server.
class EntryHost {
 public:
  explicit EntryHost(EntrySettings settings);
  ~EntryHost();

  std::string http_address() const { return http_->address(); }
  const std::string& rpc_address() const { return rpc_address_; }

  // Graceful shutdown: answers every open request, flushes the log, leaves the
  // membership. Returns false if the shutdown timeout passed first.
  bool ShutDown();

 private:
  struct PendingCall {
    std::promise<Reply> reply;
  };

  Time Now() const;
  void Step(const EntryInput& input);  // On the loop's thread.
  void CarryOut(EntryOutput output);
  kj::Promise<void> TickLoop();
  void TailLoop();
  void AppendLoop();
  void FetchLoop();
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Call(const std::function<EntryInput(Token, Time deadline)>& make,
                    Duration timeout);
  HttpResponse Submit(const HttpRequest& request);
  HttpResponse PublishConfigDocument(const HttpRequest& request);
  HttpResponse HandleJob(const HttpRequest& request, const std::string& rest);
  std::unique_ptr<LogService> NewLogService(Duration timeout) const;

  EntrySettings settings_;
  std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
  ProcessId self_;
  Metrics metrics_;
  Published<ConfigSnapshot> config_;
  EventLoop loop_;
  std::string rpc_address_;
  std::unique_ptr<EntryCore> core_;  // On the loop's thread.
  std::unique_ptr<PeerHub> hub_;
  kj::Maybe<kj::Promise<void>> ticking_;

  std::mutex calls_mutex_;
  std::unordered_map<Token, std::promise<Reply>> calls_;
  std::atomic<Token> next_token_{1};

  std::mutex work_mutex_;  // Guards the two queues below.
  std::condition_variable work_ready_;
  std::deque<AppendBatch> appends_;
  std::deque<FetchRecord> fetches_;
  std::atomic<bool> stopping_{false};
  std::atomic<Offset> next_offset_{0};

  std::thread tail_thread_;
  std::thread append_thread_;
  std::thread fetch_thread_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace marjoramplank
