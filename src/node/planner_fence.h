#pragma once

#include <cstdint>

#include "src/store/log_store.h"

namespace marjoramplank {

// Generates the fencing tokens (producer stamps) of the planner's appends. All
// planners share one producer id, so that the log service itself rejects a late
// append of an earlier planner. After an append without an answer, raising the
// producer epoch fences it off: it can no longer take effect.
class PlannerFence {
 public:
  // Call before an election to this planner epoch of the ledger.
  void BeginElection(std::int64_t epoch);
  // Returns the stamp of the next append.
  ProducerStamp stamp() const;
  void OnStored() {
    ++next_sequence_;
    fenced_election_count_ = 0;
  }
  // Call after an append without an answer. An append with the next stamp,
  // which may be empty, fences it off for certain once it is stored.
  void RaiseEpoch();
  // Call after an append was rejected because of a higher producer epoch. The
  // election to that epoch may never have reached the ledger, so the next
  // election uses a larger epoch offset.
  void OnFenced();

 private:
  std::int64_t base_epoch_ = 0;  // Lowest producer epoch of the planner epoch.
  std::int64_t epoch_offset_ = 0;  // Added to `base_epoch_`.
  std::int64_t next_sequence_ = 0;
  std::int32_t fenced_election_count_ = 0;  // Consecutive ones only.
};

}  // namespace marjoramplank
