#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "src/dispatch/dispatcher.h"
#include "src/node/job_desk.h"
#include "src/node/planner_fence.h"
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
    // The planner's heartbeat on the ledger, and the silence after which
    // another entry takes over: three beats and a slow answer of the store.
    Duration planner_beat{400};
    Duration planner_silence{1300};
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
  void RunForPlanner(Time now);
  void Lead(Time now);
  void SaveSnapshot(Time now);
  // Appends as the planner, or to become it, and reads it back.
  AppendResult::Kind AppendFenced(const std::vector<LedgerRecord>& records,
                                  std::int64_t epoch);
  // After an append without an answer: makes sure that it never comes.
  void RaiseFence();
  void LogEndOfJob(const Ledger& ledger,
                   const LedgerRecord& record,
                   std::int64_t offset);
  void CountJobs();
  void LogDecisions(const std::vector<LedgerRecord>& records,
                    std::int64_t position);

  const Options options_;
  const std::string planner_id_;  // Of this run of the process.
  Metrics metrics_;
  WayHealth way_health_{{}};  // Of all connections; outlives them.
  std::unique_ptr<LogStore> planner_store_;
  LedgerFollower ledger_;
  RulesFollower rules_;
  LedgerWriter writer_;
  LedgerWriter relay_writer_;
  RelayServer relay_;
  JobDesk desk_;
  Dispatcher dispatcher_;
  PlannerFence fence_;
  std::int64_t deposed_in_ = -1;  // Epoch in which our appends were fenced off.
  std::int64_t ended_jobs_ = 0;   // Seen so far; on the follower's thread.
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
