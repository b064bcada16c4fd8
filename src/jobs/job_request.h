#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Resources that a task requests, or the capacity of a worker.
struct Resources {
  std::int64_t cpu_milli = 0;     // Thousandths of a core.
  std::int64_t memory_mb = 0;     // MiB.
  std::int64_t accelerators = 0;  // Whole accelerators.

  Resources& operator+=(const Resources& o);
  Resources& operator-=(const Resources& o);
  // True if `available` has at least this much of every resource.
  bool FitsIn(const Resources& available) const;

  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend bool operator==(const Resources&, const Resources&) = default;
};

// One step of a job: identical tasks that may start once the steps that it
// depends on are done.
struct JobStep {
  std::int32_t tasks = 1;           // At least 1.
  Resources need;                   // Resources of each task.
  Duration estimate{0};             // Run time of a task; a hint. 0: unknown.
  std::vector<std::int32_t> after;  // Indices of the steps it depends on.
  bool gang = false;                // All tasks start and end together.
  bool same_rack = false;           // Tasks run slower when spread over racks.
  bool checkpoints = false;   // Tasks save checkpoints and resume from them.
  bool speculative = false;   // Copies of a task may run concurrently.
  bool long_running = false;  // Long-running: runs until the job is cancelled.
  // Tasks use idle processors only; their cores are not reserved on the worker.
  bool uses_idle_cpu = false;
  std::string required_label;  // Label that the worker must have. Empty: any.
  // Rack of the step's data; tasks run slower elsewhere. Empty: none.
  std::string data_rack;
  std::int32_t max_per_worker = 0;  // Tasks on one worker. 0: unlimited.
  // Long-running tasks that may be away at the same time because they were
  // stopped. Empty: any number.
  std::optional<std::int32_t> max_unavailable;
  std::string image;           // Image that the tasks run. Empty: unknown.
  Duration latency_target{0};  // Latency goal of a serving task. 0: none.

  friend bool operator==(const JobStep&, const JobStep&) = default;
};

// Schedule of a job that runs repeatedly; each occurrence runs all steps.
struct Recurrence {
  std::int32_t occurrence_count = 0;   // Occurrences. 0: one, due immediately.
  std::int64_t first_due_unix_ms = 0;  // Due time of the first occurrence.
  std::int64_t interval_ms = 0;        // Between two due times.

  friend bool operator==(const Recurrence&, const Recurrence&) = default;
};

// Where clients reach a queue. Together with its id it names a job.
struct QueueAddress {
  std::string host;
  std::string path_prefix;

  friend auto operator<=>(const QueueAddress&, const QueueAddress&) = default;
};

// Queue settings, copied into the job when it is accepted. A later
// configuration does not change them, but for the name and the service: see
// QueueChanged.
struct QueueTerms {
  std::string queue;              // Queue name.
  std::string service;            // Service whose workers run the tasks.
  std::int32_t priority = 0;      // 0 is the highest and may preempt.
  std::int32_t max_attempts = 1;  // Runs of a task or gang that may fail.
  // Completion objective: stretch x longest chain of steps + target.
  double stretch = 1;
  Duration target{0};

  friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

// A job as submitted and accepted.
struct JobRequest {
  std::string id;              // Unique; chosen by the client.
  std::string account;         // Client account.
  std::string payload;         // Opaque; passed to every task.
  std::vector<JobStep> steps;  // At least one.
  Recurrence recurrence;
  QueueTerms terms;
  QueueAddress address;  // Empty: accepted by an earlier version.

  friend bool operator==(const JobRequest&, const JobRequest&) = default;
};

// Identifies one task of one occurrence of a job.
struct TaskRef {
  std::string job;
  std::int32_t occurrence = 0;  // 0 for a job that runs once.
  std::int32_t step = 0;
  std::int32_t index = 0;  // Within the step.

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// Returns "job.occurrence.step.index".
std::string ToString(const TaskRef& task);

// Parses "job.occurrence.step.index". Returns false if the text is malformed;
// `out` may then be partly set.
bool ParseTaskRef(const std::string& text, TaskRef& out);

// Validates a request. Returns one message for each error; empty if valid.
std::vector<std::string> CheckJobRequest(const JobRequest& request);

// Limits that CheckJobRequest() enforces.
inline constexpr std::int32_t kMaxSteps = 64;
inline constexpr std::int32_t kMaxTasksOfJob = 20'000;  // Of all occurrences.
inline constexpr std::size_t kMaxJobPayloadBytes = 4'000;
// The start of a gang is one record of the log, with the worker of each task.
inline constexpr std::int32_t kMaxTasksOfGang = 3'000;
// Names and dependencies of a job, which is one record of the log.
inline constexpr std::size_t kMaxNameBytesOfJob = 128 * 1024;
// Of an id, a label, a rack or an image: with them a job fits in a record.
inline constexpr std::size_t kMaxJobNameBytes = 256;
inline constexpr std::int64_t kMaxResourceAmount = 1'000'000'000'000;
// Of an estimate, a goal or a delay: sums over all steps do not overflow.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);
inline constexpr std::int64_t kMaxIntervalMs = 1'000'000'000'000;
inline constexpr std::int64_t kMaxUnixMs = 4'102'444'800'000;  // Year 2100.
inline constexpr double kMaxStretch = 10'000;

// True if every amount is at least 0 and at most kMaxResourceAmount.
bool IsWithinLimits(const Resources& amounts);
// True if a deadline that is computed from the terms cannot overflow.
bool IsWithinLimits(const QueueTerms& terms);

}  // namespace marjoramplank
