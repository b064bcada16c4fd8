#pragma once

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Returns false if a number of the record is out of range: it was not written
// by a process of this system, and to apply it could exhaust the memory,
// overflow, or keep all later records of its kind from being applied.
bool IsWithinLimits(const LedgerRecord& record);

// Of an election, a heartbeat or another event that is counted.
inline constexpr std::int64_t kMaxCounter = 1'000'000'000'000;
// Of an agent's process; scopes its fencing tokens.
inline constexpr std::int64_t kMaxProcessNumber = (1 << 29) - 1;
// Ends that one incarnation of a worker lists.
inline constexpr std::int64_t kMaxEndNumber = 2'147'483'647;

}  // namespace marjoramplank
