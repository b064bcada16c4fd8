#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Order in which a process tries the relays of the entries. Rendezvous hashing
// over a subset: the processes of a data centre share a few of its entries, so
// that no entry carries them all, and the heartbeats that reach the same entry
// share its appends.
struct RelayOrderInput {
  std::string process_name;  // Machine of the caller.
  std::string data_centre;   // Data centre of the caller.
  // For appends, all processes of a data centre prefer the same relay, which
  // stores their records in few calls. Reads are spread.
  bool is_append = false;
  // Agents in the caller's data centre.
  std::int32_t agents = 0;
  // Entries other than the caller.
  std::vector<EntryStarted> entries;
};

// Agents that share one relay.
inline constexpr std::int32_t kAgentsPerRelay = 12;

// Returns relay addresses, preferred first: the shared relays of the data
// centre, its other entries, then those of other data centres.
std::vector<std::string> OrderRelays(const RelayOrderInput& in);

}  // namespace marjoramplank
