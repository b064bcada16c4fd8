#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/jobs/ledger_snapshot.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Writes a snapshot to a keyed topic: first its parts under the keys of one of
// two slots, then the slot's manifest. The manifest has a checksum, so that
// readers reject a mix of two snapshots. Returns false if the snapshot is not
// known to be stored.
bool WriteSnapshot(LogStore& store,
                   const LogPartition& to,
                   const std::string& bytes,
                   std::int64_t position);

struct SnapshotLookup {
  bool store_answered = false;  // False: the log service could not be read.
  std::optional<LedgerSnapshot::Restored> snapshot;
  std::string reason;  // For the event log, if it could not be read.
};

// Reads the newest complete snapshot.
SnapshotLookup ReadSnapshot(LogStore& store,
                            const LogPartition& from,
                            Time now);

}  // namespace marjoramplank
