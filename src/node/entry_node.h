#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "src/dispatch/dispatcher.h"
#include "src/node/explain_service.h"
#include "src/node/job_service.h"
#include "src/node/machine_speed_watch.h"
#include "src/node/planner_leadership.h"
#include "src/node/rules_follower.h"
#include "src/relay/relay_server.h"
#include "src/relay/relayed_log_store.h"
#include "src/relay/route_health.h"
#include "src/store/ledger_follower.h"
#include "src/store/ledger_writer.h"

namespace marjoramplank {

// Opens another connection to the platform's log service.
using StoreFactory = std::function<std::unique_ptr<LogStore>()>;

// Relay addresses of all entries on the ledger except `self`, in the order in
// which the process `self` in `data_centre` tries them.
std::vector<std::string> RelayAddresses(const LedgerFollower& ledger,
                                        const std::string& data_centre,
                                        const std::string& self,
                                        RouteHealth::Operation operation);

// Runs an entry: replays the ledger and the rules, serves client requests, and
// makes scheduling decisions while it is the elected planner.
class EntryNode {
 public:
  struct Options {
    std::string name;           // Name of the machine.
    std::string data_centre;    // Data centre of the machine.
    std::string relay_address;  // "IP:port" at which it relays the log.
    LogPartition records;       // Ledger topic.
    LogPartition snapshots;     // Keyed topic of ledger snapshots.
    LogPartition rules;         // Keyed topic of the operators' configuration.
    RulesFollower::Decoder decode_rules;
    JobService::Options job_service;
    Dispatcher::Options dispatch;
    // Interval of the planner's heartbeats on the ledger.
    Duration planner_heartbeat_interval{400};
    // Least time between two reads of the ledger while another entry is the
    // planner. Each read takes what was appended in between. It grows with the
    // number of entries, so that all entries together make about 1,300 calls a
    // second, up to a maximum: it delays orders to the agents.
    Duration follower_read_interval(std::size_t entries) const {
      return std::min(Duration(static_cast<std::int64_t>(entries) * 3 / 4),
                      max_follower_read_interval);
    }
    Duration max_follower_read_interval{40};
    // A quarter of the shortest history that the log service retains.
    Duration snapshot_interval{5000};
  };

  EntryNode(Options options, const StoreFactory& open_store);
  ~EntryNode();

  // Counters and histograms in the Prometheus text format.
  std::string RenderMetrics() const { return metrics_.Render(options_.name); }
  JobService& job_service() { return job_service_; }
  ExplainService& explain_service() { return explain_service_; }
  bool IsReady() const;  // False while draining.

  // Reports not ready from here on. Requests are still served, and a planner
  // keeps planning.
  void StartDraining();
  // Resigns as planner and waits until every accepted record is stored.
  void Close();

 private:
  std::unique_ptr<LogStore> OpenRelayed(const StoreFactory& open_store);
  void PlannerLoop();
  bool HasFreshState(Time now) const;
  PlannerView CurrentPlanner() const;
  void PlanOnce(Time now, std::int64_t epoch);
  void SaveSnapshot(Time now);
  // Waits until the log is replayed up to `end`. Empty: does nothing.
  std::size_t EntryCount() const;
  void AwaitReplay(std::optional<std::int64_t> end);
  // Logs what a record has changed. Only the planner does, so that each line
  // appears once.
  void LogRecordEffects(const Ledger& ledger,
                        const LedgerRecord& record,
                        std::int64_t offset);
  void LogJobEnd(const Ledger& ledger,
                 const std::string& id,
                 std::int64_t offset);
  void LogWorkerCrash(const Ledger& ledger,
                      const WorkerEmptied& record,
                      std::int64_t offset);
  void UpdateJobGauges();
  // Logs machines that have become slow, or are slow no more.
  void ReportMachineSpeeds(Time now);
  void LogPlan(const Dispatcher::Trace& trace,
               Duration took,
               Duration ledger_age,
               std::int64_t position);
  void LogReservations(const std::vector<Reservation>& reservations, Time now);
  void LogDeclinedPreemptions(
      const std::vector<Dispatcher::DeclinedPreemption>& declined,
      Time now);
  void LogFastWaits(const std::vector<FastWait::Wait>& waits, Time now);
  void LogDecisions(const std::vector<LedgerRecord>& records,
                    const Dispatcher::Trace& trace,
                    std::int64_t position);

  const Options options_;
  Metrics metrics_;
  // Shared by all log connections, so it must outlive them.
  RouteHealth route_health_{{}};
  LedgerFollower ledger_;
  RulesFollower rules_;
  LedgerWriter writer_;
  LedgerWriter relay_writer_;
  RelayServer relay_;
  JobService job_service_;
  ExplainService explain_service_;
  PlannerLeadership leadership_;
  Dispatcher dispatcher_;
  // Jobs ended so far. Used in the ledger follower's callback only, which runs
  // under the ledger's lock.
  std::int64_t ended_job_count_ = 0;
  Time last_heartbeat_at_{0};
  Time last_snapshot_at_{0};
  Time last_speed_report_at_{0};
  MachineSpeedWatch speed_watch_;
  std::int64_t snapshot_position_ = 0;
  // When the reservation of each gang was last logged. Older ones are dropped.
  std::map<TaskRef, Time> reservations_logged_at_;
  // The same of each unit that displaces nobody.
  std::map<TaskRef, Time> declines_logged_at_;
  // The same for units that wait for fast machines.
  std::map<TaskRef, Time> fast_waits_logged_at_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> resign_requested_{false};
  std::atomic<bool> has_resigned_{false};
  std::atomic<bool> stop_requested_{false};
  std::thread planner_thread_;
};

}  // namespace marjoramplank
