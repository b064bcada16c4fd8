#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/node/entry_node.h"
#include "src/store/ledger_follower.h"
#include "src/store/ledger_writer.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {

// Opens one more connection to the worker beside the agent.
using EndpointFactory = std::function<std::unique_ptr<TaskEndpoint>()>;

// Runs an agent: follows the ledger, keeps one worker in line with it, and
// records what the worker says.
class AgentNode {
 public:
  struct Options {
    std::string name;         // Of the machine.
    std::string data_centre;  // Where it stands.
    LogPartition records;     // The ledger.
    LogPartition snapshots;   // Keyed topic.
    Supervisor::Options supervisor;
    std::int32_t order_threads = 3;  // Starts and stops at the same time.
  };

  AgentNode(Options options,
            const StoreFactory& open_store,
            const EndpointFactory& open_endpoint);
  ~AgentNode();

  // Counters and histograms as text.
  std::string RenderMetrics() const { return metrics_.Render(options_.name); }
  bool OnHeartbeat(const WorkerHeartbeat& heartbeat);  // False: an old life.
  void OnDeparture(const std::string& worker_id);

  // Waits until what the worker said is stored. Its tasks go on under their
  // leases, for the next run of this process.
  void Close();

 private:
  std::unique_ptr<LogStore> OpenRelayed(const StoreFactory& open_store);
  void DriveLoop();
  void OrderLoop(std::unique_ptr<TaskEndpoint> endpoint);
  void HoldLoop(std::unique_ptr<TaskEndpoint> endpoint);
  void Drive(Time now);
  void Record(std::vector<LedgerRecord> records);
  void CountOrder(const OrderCall& call, const OrderReply& reply, Time sent);
  void SendBeat(Time now);
  void Wake();

  const Options options_;
  Metrics metrics_;
  WayHealth way_health_{{}};  // Of all connections; outlives them.
  LedgerFollower ledger_;
  LedgerWriter writer_;

  std::mutex mutex_;  // Guards the four below.
  std::condition_variable wake_;
  Supervisor supervisor_;
  std::deque<OrderCall> orders_;
  bool poked_ = false;

  Time last_beat_{0};  // On the drive thread.
  std::atomic<bool> beat_out_{false};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace marjoramplank
