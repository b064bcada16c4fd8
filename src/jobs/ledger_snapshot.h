#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// Serializes the state of a ledger at a position of the log. The size is
// bounded by the live jobs, kMaxEndedJobs short ones and kMaxEarlyCancels ids.
class LedgerSnapshot {
 public:
  struct Restored {
    std::int64_t position = 0;  // First offset that it does not include.
    Ledger ledger;
  };

  static std::string Save(const Ledger& ledger, std::int64_t position);
  // Empty if the bytes are malformed or the position is out of range. A job
  // that is inconsistent is left out, and a worker with numbers out of range
  // gets no tasks. Times that are not replicated are set to `now`.
  static std::optional<Restored> Load(Time now, const std::string& bytes);
};

}  // namespace marjoramplank
