#include "src/store/append_limits.h"

#include <algorithm>

namespace marjoramplank {

namespace {

// Length of each record in the body of a call.
constexpr std::size_t kRecordHeaderBytes = 4;
// Any log service takes this much.
constexpr std::size_t kMinLimitBytes = 16 * 1024;

}  // namespace

std::size_t AppendLimits::EndOfPart(const std::vector<std::string>& records,
                                    std::size_t begin) const {
  std::size_t bytes = 0;
  std::size_t end = begin;
  while (end < records.size()) {
    bytes += records[end].size() + kRecordHeaderBytes;
    if (end > begin && bytes > options_.max_call_bytes) {
      break;
    }
    ++end;
  }
  return end;
}

bool AppendLimits::OnTooLarge(const std::vector<std::string>& records) {
  std::size_t bytes = 0;
  for (const std::string& r : records) {
    bytes += r.size() + kRecordHeaderBytes;
  }
  if (bytes <= kMinLimitBytes) {
    return false;
  }
  if (records.size() == 1) {
    options_.max_record_bytes =
        std::min(options_.max_record_bytes, records.front().size() - 1);
  }
  options_.max_call_bytes =
      std::max(kMinLimitBytes, std::min(options_.max_call_bytes, bytes) / 2);
  return true;
}

}  // namespace marjoramplank
