#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/jobs/ledger_snapshot.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Writes a snapshot to a keyed topic: its parts under the keys of one of two
// slots, then the slot's manifest. Readers never see parts of two snapshots
// together: the manifest carries a checksum. Returns false if it is not known
// to be stored.
bool WriteSnapshot(LogStore& store,
                   const LogPartition& to,
                   const std::string& bytes,
                   std::int64_t position);

struct SnapshotLookup {
  bool store_answered = false;  // The store answered.
  std::optional<LedgerSnapshot::Restored> snapshot;
};

// Reads the newest whole snapshot.
SnapshotLookup ReadSnapshot(LogStore& store,
                            const LogPartition& from,
                            Time now);

}  // namespace marjoramplank
