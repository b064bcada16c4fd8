#pragma once

#include <string>

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Steps of an attempt's life cycle. Internal to gangs.cc.

// Interval after which an unanswered Stop is resent: two round trips plus the
// time of a slow member.
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

// Lets all members discard the attempt.
void SendForgetToMembers(EntryState& s, const Gang& gang);

Gang& AddGang(EntryState& s, Gang gang);
void EraseGang(EntryState& s, const std::string& job);

// Abandons an attempt before it was committed: none of its tasks has started,
// and all grants are dropped. `worker` is the peer at fault, if any.
void AbandonGang(EntryState& s,
                 Time now,
                 Gang& gang,
                 const std::string& worker,
                 const std::string& reason);

// Requests the stop from all members. The run ends once all have replied.
void BeginStopping(EntryState& s,
                   Time now,
                   Gang& gang,
                   RunEnd cause,
                   const std::string& worker,
                   const std::string& reason,
                   bool checkpoint,
                   Duration checkpoint_timeout);

AttemptRecord MakeAttemptRecord(const EntryState& s, const Gang& gang);

// Requests the start from all members.
void BeginCommit(EntryState& s, Time now, Gang& gang);

// Called when all members hold their grants: records the attempt, or commits
// it at once if the log is down and the job is idempotent.
void OnAllGrantsHeld(EntryState& s, Time now, Gang& gang);

// Returns true if the answers of all tasks have arrived.
bool HasAllAnswers(const Gang& gang);

// Reports the end of the run to the planner, which decides what follows.
void FinishRun(EntryState& s, Time now, Gang& gang, RunEnd end);

// Finishes the run if all members have replied to the stop.
void FinishIfStopped(EntryState& s, Time now, Gang& gang);

}  // namespace marjoramplank
