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
    bool known = false;  // Something has been read.
    bool kept = false;   // Nothing from the offset on has been let go.
    std::int64_t first = 0;
    std::int64_t end = 0;  // One past the newest.
    Time as_of{0};  // The partition ended there at some instant after this.
    std::vector<LogRecordBytes> records;
  };

  // `at` is where reading goes on: earlier records are not here.
  void Restart(std::int64_t at);
  void Add(const ReadResult& read, Time as_of);
  Slice From(std::int64_t offset) const;
  // Called, on the follower's thread, when there is something new.
  void SetOnChange(std::function<void()> on_change);

 private:
  mutable std::mutex mutex_;  // Guards all below.
  std::deque<LogRecordBytes> records_;
  std::size_t bytes_ = 0;
  std::int64_t end_ = -1;  // -1: nothing has been read.
  Time as_of_{0};
  std::function<void()> on_change_;
};

}  // namespace marjoramplank
