#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/agent/agent_core.h"
#include "src/entry/entry_core.h"

namespace marjoramplank::testing {

// Faults of the channels and the log.
struct FaultProfile {
  std::uint64_t seed = 1;
  int loss_percent = 0;       // Messages lost.
  int duplicate_percent = 0;  // Messages delivered twice.
  // Messages arrive after a random delay of up to this, in any order.
  Duration max_delay{20};
  // Appends that are refused, or stored with the answer lost.
  int log_fault_percent = 0;
};

// An event of the recorded history.
struct Event {
  enum class Kind {
    kTaskStarted,
    kTaskStopped,
    kDataCentreOut,
    kDataCentreIn,
    kReply,
    kConfigInForce
  };
  Time at{0};
  Kind kind = Kind::kTaskStarted;
  std::string subject;  // Worker, data centre or process run.
  std::string job;
  std::int32_t attempt = 0;
  std::int32_t task = 0;
  std::int64_t number = 0;  // Configuration version, or HTTP status.
  std::string text;         // Body of a reply, or a task's data centre.
};

// Simulates entries, agents, their workers and the platform's log in one thread
// and in virtual time. The production state machines exchange their messages
// over channels that lose, duplicate, delay and reorder them. Processes can be
// killed, frozen and restarted, and the log can be down. Records a history.
class ProtocolSimulation {
 public:
  ProtocolSimulation(FaultProfile fault_profile,
                     int entries,
                     Inventory inventory);
  ~ProtocolSimulation();

  void Run(Duration d);

  // Calls at an entry. Each returns the call's index in replies().
  std::size_t Submit(int entry, const JobSpec& spec);
  std::size_t Wait(int entry, const std::string& job, Duration d);
  std::size_t Cancel(int entry, const std::string& job);
  std::size_t SetOutOfService(int entry,
                              const std::string& data_centre,
                              bool out);

  void KillEntry(int n);  // Loses its state.
  void RestartEntry(int n);
  void FreezeEntry(int n, Duration d);
  // The worker's tasks continue to run until their leases expire.
  void KillAgent(const std::string& worker);
  void RestartAgent(const std::string& worker);
  void FreezeAgent(const std::string& worker, Duration d);
  void SetLeaving(const std::string& worker);
  // While set, the messages between the two processes are dropped.
  void SetPartitioned(const std::string& a,
                      const std::string& b,
                      bool partitioned);
  void SetLogDown(bool down) { log_down_ = down; }
  // While set, the entry cannot reach the log.
  void SetLogUnreachable(int entry, bool unreachable);
  void ExpireLog(Offset before);

  Time now() const { return now_; }
  const std::vector<Event>& events() const { return events_; }
  const std::vector<std::optional<Reply>>& replies() const { return replies_; }
  std::size_t log_size() const { return log_.size(); }
  bool IsEntryRunning(int n) const;
  const EntryState& entry_state(int n) const;
  std::vector<std::string> RunningTasks() const;  // "worker job attempt task".

 private:
  struct EntryProcess;
  struct AgentProcess;
  struct Timed;

  void StepEntry(int n, const EntryInput& input);
  void StepAgent(const std::string& worker, const AgentInput& input);
  void Deliver(const std::string& from,
               const std::string& to,
               const Message& message);
  void Schedule(Time at, std::function<void()> action);
  void Tick();
  void ReadLog(int n);
  void Append(int n, const AppendBatch& batch);
  void AdvanceWorker(const std::string& worker);
  bool DrawPercent(int percent);
  Duration RandomDelay();
  bool IsPartitioned(const std::string& a, const std::string& b) const;
  std::size_t Call(int entry, const std::function<EntryInput(CallToken)>& make);
  void ConnectAll();

  FaultProfile fault_profile_;
  std::mt19937_64 random_;
  Inventory inventory_;
  Time now_{0};
  std::multimap<Time, std::function<void()>> schedule_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::map<std::string, std::unique_ptr<AgentProcess>> agents_;
  std::vector<std::string> log_;
  Offset log_first_ = 0;
  bool log_down_ = false;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::vector<Event> events_;
  std::vector<std::optional<Reply>> replies_;
  // Data centre and new out-of-service flag of each change, by call index.
  std::map<std::size_t, std::pair<std::string, bool>> service_changes_;
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace marjoramplank::testing
