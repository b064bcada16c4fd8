#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/ledger_record.h"
#include "src/node/planner_fence.h"
#include "src/store/answer_patience.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Who plans, as a process reads it on the ledger.
struct PlannerSight {
  std::string planner;     // Empty: nobody.
  std::int64_t epoch = 0;  // Of the last election.
  Time planner_seen{0};    // When its last beat was read.
  Time readable_since{0};  // The log has been read without a gap since then.
};

// This process's claim to plan: stands for election, appends decisions behind
// the planners' fence, and hands over when it cannot append them. Used by one
// thread.
class PlannerSeat {
 public:
  struct Options {
    std::string name;      // Of the machine.
    LogPartition records;  // The ledger.
    // Silence of the planner after which another entry stands: three beats and
    // a slow answer of the store.
    Duration silence{1300};
    // A vacant seat is left to others for this long by an entry that leaves.
    Duration leaving_patience{150};
    // Longest wait for the fence after an append without an answer: below it
    // the store is merely slow.
    Duration raise_limit{250};
    // Without a stored append for this long the seat is handed over: a quarter
    // of the silence that the others would wait for.
    Duration hand_over_after{300};
    AnswerPatience::Options patience;
  };
  // Appends a record in any way that is left, without waiting.
  using OtherWay = std::function<void(LedgerRecord)>;

  PlannerSeat(Options options,
              std::unique_ptr<LogStore> store,
              OtherWay other_way);

  const std::string& id() const { return id_; }  // Of this run of the process.
  LogStore& store() { return *store_; }

  bool Leads(const PlannerSight& sight) const;
  bool MayStand(const PlannerSight& sight, Time now, bool leaving) const;

  // Both return the end of the log after the append, or nothing if it was not
  // stored for certain.
  std::optional<std::int64_t> Stand(std::int64_t epoch);
  std::optional<std::int64_t> Append(const std::vector<LedgerRecord>& records,
                                     std::int64_t epoch);

 private:
  AppendResult AppendFenced(const std::vector<LedgerRecord>& records,
                            std::int64_t epoch);
  void RaiseFence();
  void HandOver(std::int64_t epoch, Duration failing);

  const Options options_;
  const std::string id_;
  const std::unique_ptr<LogStore> store_;
  const OtherWay other_way_;
  PlannerFence fence_;
  AnswerPatience patience_;
  std::int64_t left_in_ = -1;  // Epoch that was fenced off or handed over.
  Time failing_since_{0};      // 0: the last append was stored.
};

}  // namespace marjoramplank
