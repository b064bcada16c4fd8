#include "src/store/record_ring.h"

#include <algorithm>
#include <utility>

namespace marjoramplank {

namespace {

// Capacity. At 7 KB per second it holds more than 10 minutes.
constexpr std::size_t kMaxRingBytes = 4U << 20;
constexpr std::size_t kRecordOverheadBytes = 64;  // Bookkeeping per record.
// Limit of one slice; it may exceed it by part of its last record.
constexpr std::size_t kMaxSliceBytes = 256U << 10;

}  // namespace

void RecordRing::Reset(std::int64_t position, Time as_of) {
  const std::lock_guard lock(mutex_);
  records_.clear();
  byte_count_ = 0;
  end_offset_ = position;
  as_of_ = as_of;
}

void RecordRing::Add(const ReadResult& read, Time as_of) {
  std::function<void()> on_change;
  {
    const std::lock_guard lock(mutex_);
    for (const LogRecordBytes& r : read.records) {
      if (r.offset < end_offset_) {
        continue;
      }
      records_.push_back(r);
      byte_count_ += r.bytes.size() + kRecordOverheadBytes;
      end_offset_ = r.offset + 1;
      on_change = on_change_;
    }
    while (byte_count_ > kMaxRingBytes) {
      byte_count_ -= records_.front().bytes.size() + kRecordOverheadBytes;
      records_.pop_front();
    }
    as_of_ = std::max(as_of_, as_of);
  }
  if (on_change) {
    on_change();
  }
}

RecordRing::Slice RecordRing::ReadFrom(std::int64_t offset) const {
  const std::lock_guard lock(mutex_);
  Slice out{.has_data = end_offset_ >= 0 && as_of_ > Time{0},
            .end_offset = end_offset_,
            .as_of = as_of_};
  out.first_offset = records_.empty() ? end_offset_ : records_.front().offset;
  out.is_retained = out.has_data && offset >= out.first_offset;
  if (!out.is_retained) {
    return out;
  }
  std::size_t bytes = 0;
  auto it = std::lower_bound(
      records_.begin(), records_.end(), offset,
      [](const LogRecordBytes& r, std::int64_t n) { return r.offset < n; });
  for (; it != records_.end() && bytes < kMaxSliceBytes; ++it) {
    bytes += it->bytes.size();
    out.records.push_back(*it);
  }
  return out;
}

void RecordRing::SetOnChange(std::function<void()> on_change) {
  const std::lock_guard lock(mutex_);
  on_change_ = std::move(on_change);
}

}  // namespace marjoramplank
