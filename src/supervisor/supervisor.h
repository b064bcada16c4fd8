#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/lease_rules.h"
#include "src/jobs/ledger.h"
#include "src/supervisor/worker_calls.h"

namespace marjoramplank {

// Brings one worker in line with the ledger: starts and stops what the ledger
// says, renews leases while the agent may, and records what ends. A state
// machine without threads, sockets or clocks; its owner carries out the calls
// and reports their answers.
//
// A start without an answer may be carried out seconds later. It is settled by
// raising the fence and listing the tasks under the new fence: what is not
// listed then can never start.
class Supervisor {
 public:
  struct Options {
    std::string agent;    // Name of this process's machine.
    std::string process;  // Of this run of the process.
    LeaseRules leases;
    // A start may be tried this long after it was ordered; an order that is
    // read later, after a cut, is refused: the planner has given it up. A
    // gang's members must be together within the platform's gang timeout; half
    // of it leaves the others their share.
    Duration start_window{1500};
    // Without progress for this long a task counts as stalled. One percent of
    // the longest task on a worker eight times too slow takes less.
    Duration stall_after{4000};
    Duration hold_wait{1000};     // Longest wait of a listing.
    Duration stop_retry{300};     // Until a stop without an answer is repeated.
    Duration report_retry{1000};  // Until an unconfirmed report is repeated.
    Duration unreachable_after{1500};  // Calls fail for this long: no new work.
  };

  explicit Supervisor(Options options);

  // From the worker. Returns false for a word of an earlier life.
  bool OnHeartbeat(Time now, const WorkerHeartbeat& heartbeat);
  void OnDeparture(Time now, const std::string& worker_id);

  // Fences come from the ledger: those of a later process are higher.
  // From the ledger. `current`: it was read to its end. Acts only then.
  void OnLedger(Time now, const Ledger& ledger, bool current);
  void OnBeatStored(Time sent);  // An AgentBeat of ours is on the log.

  // Answers to calls.
  void OnStartReply(Time now, const StartCall& call, const OrderReply& reply);
  void OnStopReply(Time now, const StopCall& call, const OrderReply& reply);
  void OnHoldReply(Time now, const HoldCall& call, const HoldReply& reply);

  // What to do next.
  std::vector<OrderCall> TakeOrders(Time now);
  std::optional<HoldCall> NextHold(Time now);  // Empty: nothing to list now.
  std::vector<LedgerRecord> TakeRecords(Time now);

  const std::optional<WorkerHeartbeat>& worker() const { return worker_; }
  bool accepting(Time now) const;
  bool may_renew(Time now) const {
    return now - beat_stored_ < options_.leases.renew_within;
  }

 private:
  enum class Phase {
    kOrdered,   // Not given to the worker yet.
    kStarting,  // A start is under way.
    kUnsure,    // A start had no answer.
    kPresent,   // The worker has it.
  };
  struct LocalRun {
    std::int32_t run = 1;
    Phase phase = Phase::kOrdered;
    bool sent = false;       // A start has been sent by this process.
    bool stop = false;       // Must end.
    bool stop_out = false;   // A stop is under way.
    bool stop_done = false;  // The worker has taken the stop.
    bool reported = false;   // Its end or refusal is on its way to the log.
    bool gang = false;
    bool lasting = false;
    std::string payload;
    std::string checkpoint;  // To start from.
    std::string saved;       // Newest checkpoint seen.
    std::string saved_recorded;
    std::int32_t percent = 0;
    bool stalled = false;
    Time ordered{0};
    Time progressed{0};
    Time stop_sent{0};
  };

  void BeginLife(Time now);
  void Refuse(const TaskRef& task, LocalRun& run, const std::string& reason);
  void Observe(Time now, const RunningTask& seen, LocalRun& run);
  void SettleUnsure(Time now, const HoldReply& reply);
  std::int64_t LeaseUntil(Time now) const;
  void SawClock(Time now, std::optional<std::int64_t> clock_ms);
  WorkerReported Report(Time now) const;

  Options options_;
  std::int64_t fence_ = 0;  // 0: the ledger has no beat of this process yet.
  std::optional<WorkerHeartbeat> worker_;
  bool departed_ = false;
  bool settle_ = false;     // Starts must be settled by a listing.
  bool current_ = false;    // The ledger was current when last seen.
  bool known_ = false;      // It has been current in this life.
  Time current_at_{0};      // When it last was. 0: not in this process.
  bool announced_ = false;  // The ledger knows this life as it is.
  Time report_sent_{0};
  std::map<TaskRef, LocalRun> runs_;
  std::map<std::int64_t, TaskEnded> ends_;  // Listed, not on the ledger yet.
  std::int64_t last_end_queued_ = 0;        // Given to the writer.
  std::int64_t seen_end_ = 0;               // On the ledger.
  std::int64_t seen_end_told_ = 0;          // Told to the worker.
  std::vector<LedgerRecord> records_;
  std::int64_t clock_ms_ = 0;  // Worker's clock at `clock_at_`.
  Time clock_at_{0};
  Time beat_stored_;       // When the newest stored beat was sent.
  Time reached_{0};        // Last answer of the worker.
  Time failing_since_{0};  // 0: the last call was answered.
  Time hold_sent_{0};
  Time lease_end_{0};  // No lease that we gave lasts beyond.
  Time observed_{0};   // Last observations recorded.
};

}  // namespace marjoramplank
