#pragma once

#include <string>
#include <vector>

namespace marjoramplank {

// Lifecycle state of a job. The last five are terminal.
enum class JobState {
  kQueued,      // Accepted and waiting for resources.
  kStarting,    // Resources are being reserved on the workers of the gang.
  kRunning,     // Every task of the gang has started.
  kDone,        // Every task succeeded; all results are stored.
  kFailed,      // A task failed and no retry is left, or none is allowed.
  kCancelled,   // Cancelled by the caller.
  kNotRun,      // No task started, and none ever will.
  kMayHaveRun,  // Interrupted: whether it took effect is unknown.
};

// Returns the name used in JSON and in the log: "queued", ..., "may_have_run".
const char* ToString(JobState state);

// Returns true for the five terminal states.
bool IsTerminalJobState(JobState state);

// Final result of a job, as stored in the platform's log and returned to the
// caller.
struct JobOutcome {
  JobState state = JobState::kFailed;  // A terminal state.
  std::string step;    // Step that decided the outcome, for example "gang.run".
  std::string peer;    // Worker or process where it was decided.
  std::string reason;  // One sentence for the caller.
  // Result of each task, by task index. Complete if `state` is kDone.
  std::vector<std::string> task_results;

  friend bool operator==(const JobOutcome&, const JobOutcome&) = default;
};

}  // namespace marjoramplank
