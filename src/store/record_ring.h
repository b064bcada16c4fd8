#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

#include "marjoramplank/time.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Buffer of the newest records of a partition that a follower has read. Relays
// serve other processes from it. Thread-safe.
class RecordRing {
 public:
  struct Slice {
    bool has_data = false;  // The follower has read the partition to its end.
    bool is_retained = false;  // All records from the offset on are retained.
    std::int64_t first_offset = 0;
    std::int64_t end_offset = 0;  // One past the newest record.
    // The partition ended at `end_offset` some time after this. Only with data.
    Time as_of{0};
    std::vector<LogRecordBytes> records;
  };

  // Drops all records; the next one added is at `position`. `as_of`: the
  // partition ended there some time after this. 0: it is longer.
  void Reset(std::int64_t position, Time as_of = Time{0});
  // `as_of` is 0 if the read did not reach the end of the partition.
  void Add(const ReadResult& read, Time as_of);
  Slice ReadFrom(std::int64_t offset) const;
  // Called on the follower's threads when records were added.
  void SetOnChange(std::function<void()> on_change);

 private:
  mutable std::mutex mutex_;  // Guards all members below.
  std::deque<LogRecordBytes> records_;
  std::size_t byte_count_ = 0;
  std::int64_t end_offset_ = -1;  // -1: nothing read yet.
  Time as_of_{0};                 // 0: not read to its end yet.
  std::function<void()> on_change_;
};

}  // namespace marjoramplank
