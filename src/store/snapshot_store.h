#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "src/jobs/ledger_snapshot.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// How many parts the topic may hold in each slot, as far as this process has
// read or written them, and how large a part may be. Thread-safe.
class SnapshotParts {
 public:
  std::size_t CountOf(char slot) const;
  void AddUpTo(char slot, std::size_t count);
  void Set(char slot, std::size_t count);

  std::size_t max_part_bytes() const;
  // The log service refused an append for its size. Returns false if the parts
  // are so small that any log service takes them.
  bool HalveMaxPartBytes();

 private:
  mutable std::mutex mutex_;
  std::map<char, std::size_t> counts_;
  std::size_t max_part_bytes_ = 192 * 1024;  // Records: up to 256 KiB.
};

// Writes a snapshot to a keyed topic: first its parts under the keys of one of
// two slots, then the slot's manifest. The manifest has a checksum, so that
// readers reject a mix of two snapshots. Deletes parts of a larger snapshot
// that was in the slot, which readers would load as well. Where the log service
// refuses an append for its size, the parts are made smaller. Returns false if
// the snapshot is not known to be stored.
bool WriteSnapshot(LogStore& store,
                   const LogPartition& to,
                   const std::string& bytes,
                   std::int64_t position,
                   SnapshotParts& parts);

struct SnapshotLookup {
  bool store_answered = false;  // False: the log service could not be read.
  std::optional<LedgerSnapshot::Restored> snapshot;
  std::string reason;  // For the event log, if it could not be read.
};

// Reads the newest complete snapshot.
SnapshotLookup ReadSnapshot(LogStore& store,
                            const LogPartition& from,
                            Time now,
                            SnapshotParts& parts);

}  // namespace marjoramplank
