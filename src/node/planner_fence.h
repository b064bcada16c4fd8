#pragma once

#include <cstdint>

#include "src/store/log_store.h"

namespace marjoramplank {

// Producer stamps of the planners' appends. All planners share one producer, so
// that the log service itself refuses what an earlier planner sent late. An
// append without an answer is fenced off by a higher producer epoch; then it
// can never come.
class PlannerFence {
 public:
  // Before an election to this epoch of the ledger.
  void BeginElection(std::int64_t epoch);
  // Stamp of the next append.
  ProducerStamp stamp() const;
  void OnStored() {
    ++sequence_;
    refusals_ = 0;
  }
  // The last append had no answer. Stamps from here on fence it off; an empty
  // append with the next stamp makes sure.
  void Raise();
  // A higher producer epoch was seen, also one whose election never came onto
  // the ledger. The next election goes further above.
  void OnFenced();

 private:
  std::int64_t base_ = 0;  // Lowest producer epoch of the ledger's epoch.
  std::int64_t raised_ = 0;
  std::int64_t sequence_ = 0;
  std::int32_t refusals_ = 0;  // Elections in a row that were fenced off.
};

}  // namespace marjoramplank
