#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "src/entry/entry_io.h"

namespace marjoramplank {

// The platform's append-only log, as the system uses it. A new wire protocol is
// one new implementation.
class LogService {
 public:
  virtual ~LogService() = default;

  // Appends records in order, all or none. kUnknown: no answer; they may take
  // effect later.
  virtual AppendOutcome Append(const std::vector<std::string>& lines) = 0;

  // Reads records from an offset on, waiting up to `wait` for one. Offsets
  // below the first retained one are skipped.
  virtual LogRead Read(Offset from,
                       std::int32_t max_records,
                       Duration wait) = 0;
};

}  // namespace marjoramplank
