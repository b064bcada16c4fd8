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
#include "src/store/retry_backoff.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {

// Opens another connection to the endpoint of the worker beside the agent.
using EndpointFactory = std::function<std::unique_ptr<TaskEndpoint>()>;

// Between failed reads of a snapshot by an agent.
inline constexpr RetryBackoff::Options kAgentRestoreRetry{.max_delay =
                                                              Duration(1500)};

// Runs an agent: replays the ledger, reconciles one worker with it, and appends
// the state that the worker reports.
class AgentNode {
 public:
  struct Options {
    std::string name;         // Name of the machine.
    std::string data_centre;  // Data centre of the machine.
    LogPartition records;     // Ledger topic.
    LogPartition snapshots;   // Keyed topic of ledger snapshots.
    Supervisor::Options supervisor;
    std::int32_t command_threads = 3;  // Concurrent starts and stops.
  };

  AgentNode(Options options,
            const StoreFactory& open_store,
            const EndpointFactory& open_endpoint);
  ~AgentNode();

  // Counters and histograms in the Prometheus text format.
  std::string RenderMetrics() const { return metrics_.Render(options_.name); }
  void OnHeartbeat(const WorkerHeartbeat& heartbeat);
  // The worker has deregistered.
  void OnDeparture(const std::string& worker_id);

  // Waits until the worker's reports are stored. Its tasks keep running under
  // their leases, and the next run of this process takes them over.
  void Close();

 private:
  std::unique_ptr<LogStore> OpenRelayed(const StoreFactory& open_store);
  void ReconcileLoop();
  // Sends starts and stops to the worker, one at a time.
  void CommandLoop(std::unique_ptr<TaskEndpoint> endpoint);
  // Renews the leases of the worker's tasks and lists the tasks.
  void HoldLoop(std::unique_ptr<TaskEndpoint> endpoint);
  void Reconcile(Time now);
  // Call with mutex_ held: keeps the records of both threads in order.
  void AppendRecords(std::vector<LedgerRecord> records);
  void CountCommandReply(const TaskCommand& call,
                         const CommandReply& reply,
                         Time sent_at);
  void SendHeartbeat(Time now);
  void Wake();
  // The ledger has ignored a statement of this process: the process is not
  // known there yet, or the record is a late copy.
  void LogVoidStatement(const LedgerRecord& record, std::int64_t offset);
  // A pause of this process changes what it believes of its worker's clock.
  void LogPause(Time now, Duration pause);
  // Logs a heartbeat that says something else than the one before.
  void LogHeartbeatChange(Time now,
                          const WorkerHeartbeat& heartbeat,
                          Supervisor::HeartbeatVerdict verdict);

  const Options options_;
  Metrics metrics_;
  // Shared by all log connections, so it must outlive them.
  RouteHealth route_health_{{}};
  LedgerFollower ledger_;
  LedgerWriter writer_;

  // Guards supervisor_, last_heartbeat_, command_queue_ and wake_requested_.
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  Supervisor supervisor_;
  WorkerHeartbeat last_heartbeat_;
  Time last_heartbeat_received_at_{0};
  std::deque<TaskCommand> command_queue_;
  bool wake_requested_ = false;

  // Used by the reconcile thread only.
  Time last_heartbeat_at_{0};
  WorkerIncarnation reported_incarnation_;  // In the last heartbeat.
  std::atomic<bool> heartbeat_in_flight_{false};
  std::atomic<bool> stop_requested_{false};
  std::vector<std::thread> threads_;
};

}  // namespace marjoramplank
