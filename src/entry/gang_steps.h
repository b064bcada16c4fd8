#pragma once

#include <string>

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Steps in the life of a gang, for gangs.cc alone.

// A stop without an answer is sent again after this long: two round trips, and
// a slow member.
inline constexpr Duration kStopResend = 500ms;

// Messages to one member.
void SendPrepare(EntryState& s,
                 const Gang& gang,
                 const std::string& worker,
                 const GangMember& member);
void SendCommit(EntryState& s,
                const Gang& gang,
                const std::string& worker,
                const GangMember& member);
void SendStop(EntryState& s, const Gang& gang, const std::string& worker);

// Tells every member that the attempt is over.
void ForgetAtMembers(EntryState& s, const Gang& gang);

// Keeps a gang, and lets it go.
Gang& PlaceGang(EntryState& s, Gang gang);
void EraseGang(EntryState& s, const std::string& job);

// Gives an attempt up before it was committed.
void AbandonGang(EntryState& s,
                 Time now,
                 Gang& gang,
                 const std::string& worker,
                 const std::string& reason);

// Stops what runs; the end follows when all members have answered.
void BeginStopping(EntryState& s,
                   Time now,
                   Gang& gang,
                   RunEnd cause,
                   const std::string& worker,
                   const std::string& reason,
                   bool checkpoint,
                   Duration bound);

// What the log is told of the attempt.
AttemptRecord RecordOf(const EntryState& s, const Gang& gang);

// Every member holds its grant: records the attempt, then commits it.
void CommitAll(EntryState& s, Time now, Gang& gang);
void OnAllHeld(EntryState& s, Time now, Gang& gang);

// True if the answer of every task is here.
bool AllParts(const Gang& gang);

// The run has ended, one way or the other.
void FinishRun(EntryState& s, Time now, Gang& gang, RunEnd end);
void CheckStopped(EntryState& s, Time now, Gang& gang);

}  // namespace marjoramplank
