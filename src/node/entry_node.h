#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "src/dispatch/dispatcher.h"
#include "src/node/job_desk.h"
#include "src/node/planner_seat.h"
#include "src/node/rules_follower.h"
#include "src/relay/relay_server.h"
#include "src/relay/relayed_log_store.h"
#include "src/relay/way_health.h"
#include "src/store/ledger_follower.h"
#include "src/store/ledger_writer.h"

namespace marjoramplank {

// Opens one more connection to the platform's log service.
using StoreFactory = std::function<std::unique_ptr<LogStore>()>;

// Relay addresses on the ledger, those of the data centre first, without the
// one of `self`.
std::vector<std::string> RelaysOn(const LedgerFollower& ledger,
                                  const std::string& data_centre,
                                  const std::string& self);

// Runs an entry: follows the ledger and the rules, answers callers through the
// job desk, and plans while it is the elected planner.
class EntryNode {
 public:
  struct Options {
    std::string name;         // Of the machine.
    std::string data_centre;  // Where it stands.
    std::string relay;        // "IP:port" at which it relays the log.
    LogPartition records;     // The ledger.
    LogPartition snapshots;   // Keyed topic.
    LogPartition rules;       // Keyed topic of the operators.
    RulesFollower::Decoder decode_rules;
    JobDesk::Options desk;
    Dispatcher::Options dispatch;
    Duration planner_beat{400};        // The planner's heartbeat on the ledger.
    Duration snapshot_interval{5000};  // A quarter of the shortest history.
  };

  EntryNode(Options options, const StoreFactory& open_store);
  ~EntryNode();

  // Counters and histograms as text.
  std::string RenderMetrics() const { return metrics_.Render(options_.name); }
  JobDesk& desk() { return desk_; }
  bool Ready() const;  // False while leaving.

  // Not ready from here on; callers are served and plans are made on.
  void Leave();
  // Gives the planning up, and waits until what was accepted is stored.
  void Close();

 private:
  std::unique_ptr<LogStore> OpenRelayed(const StoreFactory& open_store);
  void PlannerLoop();
  bool MayPlan(Time now) const;
  PlannerSight Sight() const;
  void Lead(Time now, std::int64_t epoch);
  void SaveSnapshot(Time now);
  void ReadBack(std::optional<std::int64_t> end);  // Of what was appended.
  void LogEndOfJob(const Ledger& ledger,
                   const LedgerRecord& record,
                   std::int64_t offset);
  void CountJobs();
  void LogDecisions(const std::vector<LedgerRecord>& records,
                    std::int64_t position);

  const Options options_;
  Metrics metrics_;
  WayHealth way_health_{{}};  // Of all connections; outlives them.
  LedgerFollower ledger_;
  RulesFollower rules_;
  LedgerWriter writer_;
  LedgerWriter relay_writer_;
  RelayServer relay_;
  JobDesk desk_;
  PlannerSeat seat_;
  Dispatcher dispatcher_;
  std::int64_t ended_jobs_ = 0;  // Seen so far; on the follower's thread.
  Time last_beat_{0};
  Time last_snapshot_{0};
  std::int64_t snapshot_position_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> resigning_{false};
  std::atomic<bool> resigned_{false};
  std::atomic<bool> stopping_{false};
  std::thread planner_thread_;
};

}  // namespace marjoramplank
