#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Resources that one task needs on its worker.
struct TaskShape {
  std::int32_t cores = 1;         // Processors.
  std::int32_t memory_mb = 256;   // Memory in MiB.
  std::int32_t accelerators = 0;  // Within one aligned power-of-two block.

  friend auto operator<=>(const TaskShape&, const TaskShape&) = default;
};

// Locality constraint on the tasks of a gang.
enum class Adjacency {
  kWorker,      // All tasks on one worker.
  kRack,        // All tasks in one rack.
  kDataCentre,  // All tasks in one data centre (default).
  kRegion,      // All tasks in one region, in any of its data centres.
};

enum class Priority {
  kNormal,
  // Starts ahead of normal jobs. May preempt jobs that run on borrowed capacity
  // and can be run again.
  kUrgent,
};

// A request to run a gang of identical tasks. CheckJobSpec() validates it
// before it is stored.
struct JobSpec {
  std::string request_id;  // Idempotency key chosen by the caller. Required.
  std::string account;     // Client account. Required.
  std::string region;      // Region to run in. Empty: chosen by the system.
  std::string payload;     // Passed to every task as is. At most 64 KiB.

  std::int32_t tasks = 1;                        // Gang size, 1 to 64.
  TaskShape shape;                               // Resources of each task.
  Adjacency adjacency = Adjacency::kDataCentre;  // Locality of the gang.
  Priority priority = Priority::kNormal;         // Scheduling priority.

  bool idempotent = true;       // False: must never run twice.
  bool checkpointable = false;  // True: can save a checkpoint and resume.

  // Run time estimate in ms. Used for planning, never enforced.
  Duration expected_run_time{60'000};
  // The job ends as "not run" unless it starts within this time. 0: no
  // deadline.
  Duration queue_deadline{0};

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// Limits of a request and of its results.
inline constexpr std::int32_t kMaxGangTasks = 64;              // Tasks.
inline constexpr std::size_t kMaxPayloadBytes = 64 * 1024;     // Bytes.
inline constexpr std::size_t kMaxRequestIdBytes = 128;         // Bytes.
inline constexpr std::size_t kMaxTaskResultBytes = 64 * 1024;  // One task.

// Names in JSON: "worker", "rack", "data_centre", "region" and "normal",
// "urgent".
const char* ToString(Adjacency adjacency);
const char* ToString(Priority priority);

// Derives the job id from the account and the request id: 32 hexadecimal digits
// that are the same for every submission of the request.
std::string JobIdFor(const std::string& account, const std::string& request_id);

}  // namespace marjoramplank
