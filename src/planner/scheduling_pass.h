#pragma once

#include "src/planner/planner_state.h"

namespace marjoramplank {

// Handles the timers that are due.
void FireTimers(PlannerState& s, Time now);

// Runs one scheduling pass: activates claims, then tries to start the queue
// heads of every account, highest rank first. Cost: O(classes of waiting jobs),
// plus one placement search for each class that may fit.
void RunSchedulingPass(PlannerState& s, Time now);

// Adds a job to its account's queue; at the front if it has waited before.
void Enqueue(PlannerState& s, JobIndex i, bool at_front);

// Removes a waiting job from the count of its queue. O(1): its entry becomes
// stale and is skipped later.
void Dequeue(PlannerState& s, JobIndex i);

// Emits the EndJob decision and frees the record of the job. RemoveJob() frees
// it without a decision.
void FinishJob(PlannerState& s, JobIndex i, JobOutcome outcome);
void RemoveJob(PlannerState& s, JobIndex i);

// Moves or stops the jobs in data centres that were taken out of service.
void EvacuateJobs(PlannerState& s, Time now);

// Rank of a waiting job: its response ratio (wait relative to run time) times a
// factor that is higher the further its account is below its fair share. Ranks
// grow without bound while a job waits, so no job starves.
double ComputeRank(const PlannerState& s, Time now, const JobRecord& job);

}  // namespace marjoramplank
