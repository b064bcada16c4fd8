#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

#include "marjoramplank/time.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// The newest records of a partition as a follower has read them, for others to
// read from this process. Thread-safe.
class RecordRing {
 public:
  struct Slice {
    bool has_data = false;     // Something has been read.
    bool is_retained = false;  // Nothing from the offset on has been let go.
    std::int64_t first_offset = 0;
    std::int64_t end_offset = 0;  // One past the newest.
    Time as_of{0};  // The partition ended there at some instant after this.
    std::vector<LogRecordBytes> records;
  };

  // `at` is where reading goes on: earlier records are not here.
  void Reset(std::int64_t position);
  void Add(const ReadResult& read, Time as_of);
  Slice ReadFrom(std::int64_t offset) const;
  // Called, on the follower's thread, when there is something new.
  void SetOnChange(std::function<void()> on_change);

 private:
  mutable std::mutex mutex_;  // Guards all below.
  std::deque<LogRecordBytes> records_;
  std::size_t byte_count_ = 0;
  std::int64_t end_offset_ = -1;  // -1: nothing has been read.
  Time as_of_{0};
  std::function<void()> on_change_;
};

}  // namespace marjoramplank
