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
// read or written them. Thread-safe.
class SnapshotParts {
 public:
  std::size_t CountOf(char slot) const;
  void AddUpTo(char slot, std::size_t count);
  void Set(char slot, std::size_t count);

 private:
  mutable std::mutex mutex_;
  std::map<char, std::size_t> counts_;
};

// Writes a snapshot to a keyed topic: first its parts under the keys of one of
// two slots, then the slot's manifest. The manifest has a checksum, so that
// readers reject a mix of two snapshots. Deletes parts of a larger snapshot
// that was in the slot, which readers would load as well. Returns false if the
// snapshot is not known to be stored.
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
