#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Ownership of the regions, and the planners of those that are planned here.

// Follows the membership: gives regions up and takes them over.
void UpdateOwnership(EntryState& s, Time now);

// Lets each planner decide and carries its decisions out.
void RunPlanners(EntryState& s, Time now);

// Hands live jobs to the planners that nobody looks after: new ones, and those
// found by the sweep.
void PlaceJob(EntryState& s, Time now, const std::string& job);
void SweepJobs(EntryState& s, Time now);

// Takes note of an agent's report and answers it.
void OnAgentReport(EntryState& s, Time now, const AgentReport& report);

// Tells the planners which agents have fallen silent.
void CheckAgents(EntryState& s, Time now);

// A new configuration is in force: passes it to the planners and the request
// threads.
void ApplyConfig(EntryState& s, Time now);

}  // namespace marjoramplank
