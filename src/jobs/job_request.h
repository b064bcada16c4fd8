#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// What a task takes from a worker, or what a worker has.
struct Resources {
  std::int64_t cpu_milli = 0;     // Thousandths of a core.
  std::int64_t memory_mb = 0;     // MiB.
  std::int64_t accelerators = 0;  // Whole accelerators.

  Resources& operator+=(const Resources& o);
  Resources& operator-=(const Resources& o);
  bool FitsIn(const Resources& room) const;  // In every dimension.

  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend bool operator==(const Resources&, const Resources&) = default;
};

// One step of a job: tasks alike that may begin once earlier steps are done.
struct JobStep {
  std::int32_t tasks = 1;           // At least 1.
  Resources need;                   // Of each task.
  Duration estimate{0};             // Run time of a task; a hint. 0: unknown.
  std::vector<std::int32_t> after;  // Numbers of steps that must be done first.
  bool gang = false;           // Tasks work only together and end together.
  bool same_rack = false;      // Slower when spread over racks.
  bool checkpoints = false;    // Saves its progress and can resume.
  bool speculative = false;    // Copies of a task may run side by side.
  bool lasting = false;        // Runs until the job is cancelled.
  bool uses_idle_cpu = false;  // Its processors are not counted against a
                               // worker.
  std::string required_label;  // Label that the worker must have. Empty: any.
  std::string data_rack;  // Rack of its data; slower elsewhere. Empty: none.
  std::int32_t max_per_worker = 0;   // Tasks on one worker. 0: no bound.
  std::int32_t max_unavailable = 0;  // Lasting tasks stopped at once. 0: none.
  std::string image;                 // What the tasks run. Empty: unknown.
  Duration latency_target{0};        // Of a serving task. 0: none.

  friend bool operator==(const JobStep&, const JobStep&) = default;
};

// Runs of all steps at stated times.
struct Recurrence {
  std::int32_t times = 0;              // 0: once, at once.
  std::int64_t first_due_unix_ms = 0;  // Due time of the first.
  std::int64_t interval_ms = 0;        // Between two due times.

  friend bool operator==(const Recurrence&, const Recurrence&) = default;
};

// What the queue's rules said when the job was accepted.
struct QueueTerms {
  std::string queue;              // Queue name.
  std::string service;            // Workers that run its tasks.
  std::int32_t priority = 0;      // 0 goes first and may preempt.
  std::int32_t max_attempts = 1;  // Runs of a task or gang that may fail.
  double stretch = 1;             // Objective: stretch x chain + target.
  Duration target{0};             // Part of the objective.

  friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

// A job as it was accepted.
struct JobRequest {
  std::string id;              // Chosen by the caller; unique.
  std::string account;         // Client account.
  std::string payload;         // Handed to every task unchanged.
  std::vector<JobStep> steps;  // At least one.
  Recurrence recurrence;
  QueueTerms terms;

  friend bool operator==(const JobRequest&, const JobRequest&) = default;
};

// Names one task: a task of a step of one occurrence of a job.
struct TaskRef {
  std::string job;
  std::int32_t occurrence = 0;  // 0 for a job that runs once.
  std::int32_t step = 0;
  std::int32_t index = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// Returns "job.occurrence.step.index".
std::string ToString(const TaskRef& task);

// Returns false if the text is not a task's name.
bool ParseTaskRef(const std::string& text, TaskRef& out);

// Returns the faults of a request, one sentence each. Empty: sound.
std::vector<std::string> CheckJobRequest(const JobRequest& request);

// Limits of a request.
inline constexpr std::int32_t kMaxSteps = 64;              // Steps of a job.
inline constexpr std::int32_t kMaxTasksOfJob = 20'000;     // Over occurrences.
inline constexpr std::size_t kMaxJobPayloadBytes = 4'000;  // Bytes.

}  // namespace marjoramplank
