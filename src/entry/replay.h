#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Replays the log, restores and writes snapshots, and maintains this process's
// entry in the membership.
void OnLogRead(EntryState& s, Time now, const LogRead& read);

// Returns the offset from which the log is to be read next.
Offset NextOffset(const EntryState& s);

// Writes a snapshot if one is due and this process is the designated writer.
void WriteSnapshotIfDue(EntryState& s, Time now);

// Records that this process has joined or left, and records long-silent
// members as left.
void MaintainMembership(EntryState& s, Time now);

}  // namespace marjoramplank
