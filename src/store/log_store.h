#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// A partition of a topic of the platform's log service.
struct LogPartition {
  std::string topic;
  std::int32_t number = 0;

  friend bool operator==(const LogPartition&, const LogPartition&) = default;
};

// Fences appends of earlier holders. An append of a lower epoch than one seen
// is refused; within an epoch each append carries the next sequence number, and
// a repeat has no second effect.
struct ProducerStamp {
  std::string id;  // Empty: not fenced.
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;

  friend bool operator==(const ProducerStamp&, const ProducerStamp&) = default;
};

struct AppendResult {
  enum class Kind {
    kStored,
    kRefused,        // Nothing was done, and nothing will be.
    kUnknown,        // No answer. It may be carried out, also seconds later.
    kFenced,         // A higher epoch of this producer has been seen.
    kOutOfSequence,  // Within the epoch, another sequence number is next.
  };
  Kind kind = Kind::kUnknown;
  std::int64_t offset = 0;  // Of the first record, when stored.
  std::string reason;       // For the log, when not stored.
};

struct LogRecordBytes {
  std::int64_t offset = 0;
  std::string bytes;
};

struct ReadResult {
  enum class Kind {
    kOk,
    kForgotten,  // Records from this offset on have been deleted.
    kFailed,     // No answer, or refused.
  };
  Kind kind = Kind::kFailed;
  std::int64_t first = 0;  // First offset that is kept.
  std::int64_t end = 0;    // One past the last record.
  Duration age{0};         // The end was this old when the answer was given.
  std::vector<LogRecordBytes> records;
  std::string reason;  // For the log, when failed.
};

struct KeyedRecord {
  std::string key;
  std::string value;  // Empty: the key was dropped.
  std::int64_t offset = 0;
};

struct NewestResult {
  bool ok = false;
  std::int64_t end = 0;  // End of the partition at the first page.
  std::vector<KeyedRecord> records;
  std::string reason;  // For the log, when failed.
};

// One connection to the platform's log service. Not thread-safe: each thread
// has its own. Calls block for at most their time limit.
class LogStore {
 public:
  virtual ~LogStore() = default;

  // Appends all records or none.
  virtual AppendResult Append(const LogPartition& to,
                              const std::vector<std::string>& records,
                              const ProducerStamp& stamp,
                              Duration timeout) = 0;
  // Reads from an offset on. If nothing is there, waits up to `wait` for it.
  virtual ReadResult Read(const LogPartition& from,
                          std::int64_t offset,
                          Duration wait,
                          Duration timeout) = 0;
  // Newest record of each key of a keyed topic, over all pages. Pages are read
  // one after the other and need not match each other.
  virtual NewestResult Newest(const LogPartition& from, Duration timeout) = 0;
};

// A record of a keyed topic as it is appended and read.
std::string EncodeKeyed(const std::string& key, const std::string& value);
bool DecodeKeyed(const std::string& bytes,
                 std::string& key,
                 std::string& value);

}  // namespace marjoramplank
