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

// Fencing token of an append. The log service rejects an epoch below the
// highest that it has seen of this producer. Within an epoch each append
// carries the next sequence number, so that a repeat has no second effect.
struct ProducerStamp {
  std::string id;  // Empty: not fenced.
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;

  friend bool operator==(const ProducerStamp&, const ProducerStamp&) = default;
};

struct AppendResult {
  enum class Kind {
    kStored,
    kRefused,        // Not stored, now or later.
    kUnknown,        // No answer. May be stored, possibly seconds later.
    kFenced,         // A higher epoch of this producer exists.
    kOutOfSequence,  // The epoch expects another sequence number.
  };
  Kind kind = Kind::kUnknown;
  std::int64_t first_offset = 0;  // Offset of the first record, if stored.
  std::string reason;             // For the event log, if not stored.
  bool is_busy = false;           // Refused: too many calls wait already.
  bool is_too_large = false;      // Refused: a record or the call is too large.
};

struct LogRecordBytes {
  std::int64_t offset = 0;
  std::string bytes;
};

struct ReadResult {
  enum class Kind {
    kOk,
    kTruncated,  // The record at the offset has been deleted.
    kFailed,     // Refused, or no answer.
  };
  Kind kind = Kind::kFailed;
  std::int64_t first_offset = 0;  // First retained offset.
  std::int64_t end_offset = 0;    // One past the last record of the partition.
  Duration age{0};                // Age of the end when the answer was given.
  std::vector<LogRecordBytes> records;
  std::string reason;  // For the event log, if failed.
};

struct KeyedRecord {
  std::string key;
  std::string value;  // Empty: tombstone; the key is deleted.
  std::int64_t offset = 0;
};

struct LatestResult {
  bool ok = false;
  // End of the partition when the first page was read.
  std::int64_t end_offset = 0;
  std::vector<KeyedRecord> records;
  std::string reason;  // For the event log, if failed.
};

// One connection to the platform's log service. Calls block for at most
// `timeout`. Not thread-safe: each thread uses its own connection.
class LogStore {
 public:
  virtual ~LogStore() = default;

  // Appends atomically: all records or none.
  virtual AppendResult Append(const LogPartition& to,
                              const std::vector<std::string>& records,
                              const ProducerStamp& stamp,
                              Duration timeout) = 0;
  // Reads from `offset` on. At the end of the partition, waits up to `wait` for
  // a record (long poll).
  virtual ReadResult Read(const LogPartition& from,
                          std::int64_t offset,
                          Duration wait,
                          Duration timeout) = 0;
  // Reads the latest record of each key of a keyed topic. The pages are read
  // one after the other and are not a consistent snapshot.
  virtual LatestResult ReadLatest(const LogPartition& from,
                                  Duration timeout) = 0;
};

// Encoding of a record of a keyed topic.
std::string EncodeKeyed(const std::string& key, const std::string& value);
bool DecodeKeyed(const std::string& bytes,
                 std::string& key,
                 std::string& value);

}  // namespace marjoramplank
