#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "src/entry/entry_io.h"

namespace marjoramplank {

// Interface to the platform's append-only log. Each wire protocol is one
// implementation.
class LogService {
 public:
  virtual ~LogService() = default;

  // Appends records in order, all or none. Returns kUnknown if there was no
  // answer: the append may still take effect.
  virtual AppendOutcome Append(const std::vector<std::string>& lines) = 0;

  // Reads records from offset `from` on. Waits up to `wait` for the first one.
  // Offsets that are no longer retained are skipped.
  virtual LogRead Read(Offset from,
                       std::int32_t max_records,
                       Duration wait) = 0;
};

}  // namespace marjoramplank
