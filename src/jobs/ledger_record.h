#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/jobs/job_request.h"

namespace marjoramplank {

// Records of the ledger: the shared log that every entry and agent replays.
// Each record may be repeated without effect, so an append whose answer was
// lost is simply repeated.

// One life of a worker. The same id may start again; `born_ms` tells lives
// apart.
struct WorkerLife {
  std::string id;
  std::int64_t born_ms = 0;  // Unix time of its start, by the worker.

  friend auto operator<=>(const WorkerLife&, const WorkerLife&) = default;
};
std::string ToString(const WorkerLife& life);  // "id@born".

struct JobSubmitted {
  JobRequest request;
  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

struct JobCancelled {
  std::string job;
  friend bool operator==(const JobCancelled&, const JobCancelled&) = default;
};

// Sent regularly by an agent. An agent renews leases only while one of these
// that it sent lately is on the log; see lease_rules.h.
struct AgentBeat {
  std::string agent;
  std::string process;  // Differs for each run of the agent's process.
  friend bool operator==(const AgentBeat&, const AgentBeat&) = default;
};

// An entry has started and relays the log at an address.
struct EntryStarted {
  std::string entry;
  std::string data_centre;
  std::string relay;  // "IP:port".
  friend bool operator==(const EntryStarted&, const EntryStarted&) = default;
};

// What an agent says of its worker: sent when it comes and when anything here
// changes.
struct WorkerReported {
  std::string agent;
  WorkerLife life;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool accepting = true;          // False: leaving, or cannot be reached.
  std::int64_t leaves_in_ms = 0;  // While leaving: least time left.
  friend bool operator==(const WorkerReported&,
                         const WorkerReported&) = default;
};

// Nothing that was started on this life runs any more: it ended, or every
// lease has run out.
struct WorkerEmptied {
  WorkerLife life;
  std::int64_t epoch = 0;  // Of the planner that says so. 0: its own agent.
  bool gone = false;       // The life has ended for good.
  std::string reason;
  friend bool operator==(const WorkerEmptied&, const WorkerEmptied&) = default;
};

// An entry plans from here on. Repeated as a heartbeat.
struct PlannerElected {
  std::string entry;
  std::int64_t epoch = 0;  // Higher than any before, or the same as a beat.
  friend bool operator==(const PlannerElected&,
                         const PlannerElected&) = default;
};

struct PlannerResigned {
  std::string entry;
  std::int64_t epoch = 0;
  friend bool operator==(const PlannerResigned&,
                         const PlannerResigned&) = default;
};

struct MemberPlace {
  std::int32_t index = 0;  // Task within its step.
  WorkerLife life;
  friend bool operator==(const MemberPlace&, const MemberPlace&) = default;
};

// Decision: one task, or all tasks of a gang, start. `first` names the task or
// the gang's first task.
struct RunStarted {
  std::int64_t epoch = 0;
  TaskRef first;
  std::int32_t run = 1;  // One above the last.
  std::vector<MemberPlace> members;
  std::string checkpoint;  // Empty: from the beginning.
  friend bool operator==(const RunStarted&, const RunStarted&) = default;
};

enum class StopCause {
  kReclaim,  // A guarantee needs the room.
  kMoved,    // The worker leaves, or its data centre is out.
  kStalled,  // It makes no progress.
};
const char* ToString(StopCause cause);

// Decision: the run is stopped; it starts again later.
struct RunStopped {
  std::int64_t epoch = 0;
  TaskRef first;
  std::int32_t run = 1;
  StopCause cause = StopCause::kReclaim;
  friend bool operator==(const RunStopped&, const RunStopped&) = default;
};

enum class TaskEnd {
  kDone,
  kFailed,   // By its own fault or the worker's.
  kStopped,  // Was told to stop.
  kLapsed,   // Its lease ran out.
  kBroken,   // Another member of the gang ended.
  kAlone,    // The other members did not come in time.
};
const char* ToString(TaskEnd end);

// A run's end as its worker lists it.
struct TaskEnded {
  WorkerLife life;
  std::int64_t number = 0;  // Of the end within the life; from 1.
  TaskRef task;
  std::int32_t run = 1;
  TaskEnd how = TaskEnd::kDone;
  std::string checkpoint;
  friend bool operator==(const TaskEnded&, const TaskEnded&) = default;
};

// The run does not run on that worker and never will.
struct StartRefused {
  WorkerLife life;
  TaskRef task;
  std::int32_t run = 1;
  std::string reason;
  friend bool operator==(const StartRefused&, const StartRefused&) = default;
};

// What an agent sees of a running task, when it matters to the planner.
struct RunObserved {
  WorkerLife life;
  TaskRef task;
  std::int32_t run = 1;
  std::int32_t percent = 0;  // Of its work.
  bool stalled = false;      // No progress for the stall time.
  std::string checkpoint;    // Newest.
  friend bool operator==(const RunObserved&, const RunObserved&) = default;
};

using LedgerRecord = std::variant<JobSubmitted,
                                  JobCancelled,
                                  AgentBeat,
                                  EntryStarted,
                                  WorkerReported,
                                  WorkerEmptied,
                                  PlannerElected,
                                  PlannerResigned,
                                  RunStarted,
                                  RunStopped,
                                  TaskEnded,
                                  StartRefused,
                                  RunObserved>;

}  // namespace marjoramplank
