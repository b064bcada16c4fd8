#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// The whole state of a ledger at a position of the log, as bytes. Its size is
// bounded by live jobs and kEndedJobsKept short entries.
class LedgerSnapshot {
 public:
  struct Restored {
    std::int64_t position = 0;  // First offset that is not included.
    Ledger ledger;
  };

  static std::string Save(const Ledger& ledger, std::int64_t position);
  // Empty for bytes that are no snapshot. `now` becomes the time at which
  // everything in it was seen.
  static std::optional<Restored> Load(Time now, const std::string& bytes);
};

}  // namespace marjoramplank
