#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/placement.h"
#include "src/jobs/lease_rules.h"
#include "src/jobs/ledger.h"
#include "src/rules/rules.h"

namespace marjoramplank {

// Decides which tasks start where, and which give way. Pure: no thread, socket
// or clock; the same inputs give the same decisions. Keeps nothing that must
// last: everything is derived from the ledger and the rules.
class Dispatcher {
 public:
  struct Options {
    LeaseRules leases;
    // A worker with this many failed ends in a row gets no work ...
    std::int32_t distrust_failures = 2;
    // ... for this long: a few run times of the shortest tasks.
    Duration distrust_span{6000};
    // A worker that refused a start is passed over for this long, doubled with
    // each in a row: it is unhealthy, or its room is counted differently.
    Duration refusal_span{300};
    Duration refusal_span_max{4000};
    // A task whose data or gang is slower elsewhere waits for this part of its
    // estimate before it goes elsewhere.
    double rack_patience = 0.6;
    // Work that a job of priority 0 beyond its guarantee may displace,
    // core-seconds.
    double urgent_loss_limit = 1500;
    // Run time assumed where none is declared or learned.
    Duration unknown_estimate{5000};
    // Earliest start of a timed run before its due time: none.
    Duration early{0};
  };

  struct Input {
    Time now{0};
    std::int64_t unix_ms = 0;  // Best evidence of the time of day.
    std::int64_t epoch = 0;    // Of this planner.
    const Ledger& ledger;
    const RulesView& rules;
  };

  explicit Dispatcher(Options options) : options_(options) {}

  // Decisions in the order in which they must be recorded.
  std::vector<LedgerRecord> Plan(const Input& in) const;

 private:
  RoomTable Rooms(const Input& in) const;
  bool IsDistrusted(const Input& in, const WorkerEntry& worker) const;
  std::vector<WaitingUnit> Waiting(const Input& in) const;
  void AddUnits(const Input& in,
                const JobEntry& job,
                std::vector<WaitingUnit>& out) const;
  std::set<std::string> JobsWithinGuarantee(const Input& in) const;
  void DeclareLost(const Input& in, std::vector<LedgerRecord>& out) const;
  void StopStalled(const Input& in, std::vector<LedgerRecord>& out) const;
  std::optional<Place> Search(const Input& in,
                              const RoomTable& rooms,
                              const WaitingUnit& unit) const;
  bool Reclaim(const Input& in,
               RoomTable& rooms,
               const WaitingUnit& unit,
               std::set<TaskRef>& stopped,
               std::vector<LedgerRecord>& out) const;

  Options options_;
};

}  // namespace marjoramplank
