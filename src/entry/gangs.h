#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Carries out the planner's decisions: starts and stops whole gangs, collects
// their answers and records their outcomes.

void StartAttempt(EntryState& s,
                  Time now,
                  const std::string& region,
                  const StartGang& start);
void StopAttempt(EntryState& s, Time now, const StopGang& stop);
void RecordOutcome(EntryState& s,
                   Time now,
                   const std::string& region,
                   const EndJob& end);

// Takes over an attempt that another planner started. `members` come from the
// attempt's record or from the agents' reports.
void AdoptGang(EntryState& s,
               Time now,
               const std::string& region,
               const std::string& job,
               std::int32_t attempt,
               const std::vector<AttemptMember>& members,
               bool recorded);

// Called when a record of an attempt of this process was read from the log.
void OnAttemptRecorded(EntryState& s, Time now, const AttemptRecord& record);

void OnPrepareReply(EntryState& s, Time now, const PrepareReply& m);
void OnCommitReply(EntryState& s, Time now, const CommitReply& m);
void OnStopReply(EntryState& s, Time now, const StopReply& m);
void OnTaskResult(EntryState& s, Time now, const TaskResult& m);

// Reconciles the gangs with an agent's report: stops those that have lost a
// task, and lets the agent discard attempts that are over.
void ReconcileReport(EntryState& s, Time now, const AgentReport& report);

// Resends unanswered messages and ends phases that are past their deadline.
void TickGangs(EntryState& s, Time now);

// Discards the gang of a job that has ended, here and at its members.
void DropGang(EntryState& s, const std::string& job);

// Discards the gangs of a region that another entry now plans. Grants that are
// not committed yet are stopped; running tasks are left to the new planner.
void ReleaseGangs(EntryState& s, const std::string& region);

// Returns the planner of a region, or nullptr if it is not planned here.
Planner* FindPlanner(EntryState& s, const std::string& region);

}  // namespace marjoramplank
