#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Region ownership, and the planners of the regions that this process owns.

// Takes over and releases regions as the membership changes.
void UpdateOwnership(EntryState& s, Time now);

// Runs the planners that are due and carries out their decisions.
void RunPlanners(EntryState& s, Time now);

// Submits a live job to its region's planner if it is planned here and the
// planner does not have the job yet.
void EnsureJobPlanned(EntryState& s, Time now, const std::string& job);

// Periodically submits the live jobs that their planner does not have.
void SweepUnplannedJobs(EntryState& s, Time now);

// Stores an agent's report and replies with a heartbeat.
void OnAgentReport(EntryState& s, Time now, const AgentReport& report);

// Updates the planners when an agent comes up or goes silent.
void UpdateWorkerAvailability(EntryState& s, Time now);

// Passes a new configuration to the planners and the request threads.
void ApplyConfig(EntryState& s, Time now);

}  // namespace marjoramplank
