#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace marjoramplank {

// Sizes of the appends of one writer. The log service refuses larger ones, now
// and later, so an append that it refused for its size is never sent again.
class AppendLimits {
 public:
  struct Options {
    std::size_t max_record_bytes = 256 * 1024;
    // Below what the log service takes in one call, so that a call is short.
    std::size_t max_call_bytes = 512 * 1024;
  };

  AppendLimits() = default;
  explicit AppendLimits(Options options) : options_(options) {}

  bool MayAppend(const std::string& record) const {
    return record.size() <= options_.max_record_bytes;
  }
  // End of the part of `records` that starts at `begin` and fits into one call:
  // at least one record, unless `begin` is the end.
  std::size_t EndOfPart(const std::vector<std::string>& records,
                        std::size_t begin) const;
  // The log service refused these records for their size. Lowers the limits, so
  // that the next append is smaller. Returns false if they are so small that
  // the size cannot be the reason.
  bool OnTooLarge(const std::vector<std::string>& records);

  std::size_t max_call_bytes() const { return options_.max_call_bytes; }

 private:
  Options options_;
};

}  // namespace marjoramplank
