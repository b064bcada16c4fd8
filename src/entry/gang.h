#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/planner.h"
#include "src/log/records.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// Phases of an attempt, as the entry that plans its region sees it. An attempt
// is committed in two phases: each agent grants resources, the attempt is
// recorded on the log, and only then do the members start.
enum class GangPhase {
  kPreparing,   // Requesting grants from the agents.
  kRecording,   // All grants are held; waits for the attempt on the log.
  kCommitting,  // Requesting the start from the members.
  kRunning,     // All members have started.
  kStopping,    // Requesting the stop from the members.
  kStoring,     // Waits for the outcome on the log.
};
const char* ToString(GangPhase phase);

// One agent's part in an attempt.
struct GangMember {
  std::uint64_t incarnation = 0;  // Agent process run that holds the grant.
  std::vector<TaskPlacement> placements;
  bool grant_held = false;
  bool start_confirmed = false;
  bool seen_in_report = false;  // A report has listed all its tasks.
  Time started_at{0};
  // Consecutive reports that do not list all its tasks.
  std::int32_t missing_reports = 0;
  std::optional<StopVerdict> stop_verdict;  // Empty: no reply to Stop yet.
};

// An attempt to run a job.
struct Gang {
  std::string job;
  std::string region;
  std::int32_t attempt = 0;
  std::int32_t gang_tasks = 1;
  GangPhase phase = GangPhase::kPreparing;
  std::map<std::string, GangMember> members;  // By worker.
  bool attempt_recorded = false;   // The attempt is on the log, or appended.
  bool answers_requested = false;  // Collect was sent after a stop.
  bool is_adopted = false;         // Started by another planner.
  Time begun_at{0};
  Time phase_deadline = kNever;
  Time resend_at{0};
  RunEnd stop_cause = RunEnd::kStopped;
  std::string stop_cause_worker;
  std::string stop_cause_reason;
  bool stop_with_checkpoint = false;
  Duration checkpoint_timeout{0};
  std::map<std::int32_t, std::string> answers_by_task;
  std::string traceparent;
};

// Derives the end of a stopped attempt from its members' verdicts. Returns
// nullopt if all members have succeeded: the run is a success.
std::optional<RunEnd> RunEndFromVerdicts(const Gang& gang);

}  // namespace marjoramplank
