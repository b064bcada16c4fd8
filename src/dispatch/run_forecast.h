#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// Expected times of a job's steps on a machine of usual speed, and its goal.
struct JobForecast {
  std::vector<Duration> run_times;  // Of a task of each step.
  std::vector<bool> is_learned;     // Or only declared.
  // From the start of each step to the end of the job.
  std::vector<Duration> path_times;
  Duration objective{0};    // From its due time to its deadline.
  double core_seconds = 0;  // Of all steps that end by themselves.
};

// What the ledger and the run-time model say about the ends of runs and of
// jobs. Used for one plan: what it has computed is used again.
class RunForecast {
 public:
  struct Options {
    // Estimated run time of a step that has no declared or learned one.
    Duration default_estimate{5000};
  };

  // The ledger must outlive the forecast and must not change.
  RunForecast(Options options,
              Time now,
              std::int64_t unix_ms,
              const Ledger& ledger)
      : options_(options), now_(now), unix_ms_(unix_ms), ledger_(ledger) {}

  const JobForecast& Of(const LedgerJob& job);
  // When an occurrence of the job is due.
  Time DueAt(const LedgerJob& job, std::int32_t occurrence) const;
  // Slowness of the worker's machine; 1 if it is unknown.
  double Slowness(const LedgerWorker& worker);
  // Runs that compared the worker's machine with others.
  std::size_t SampleCount(const LedgerWorker& worker) const;

  // Expected time to the end of the run, by its progress if that is known. A
  // run over its estimate is expected to last as long again as it is over it.
  // kNever: it lasts, or its job has ended.
  Duration Remaining(const LedgerJob& job,
                     const LedgerWorker& worker,
                     const TaskRef& task,
                     const LiveRun& run);
  // The same; negative if the run is over its estimate.
  Duration ExpectedRemaining(const LedgerJob& job,
                             const LedgerWorker& worker,
                             const TaskRef& task,
                             const LiveRun& run);
  // Remaining() of the unit's slowest member that still runs.
  Duration RemainingOfUnit(const LedgerJob& job,
                           const TaskRef& first,
                           const RunUnit& unit);
  // True if the run's end can be counted on: its progress is known, or runs
  // like it have been seen. Declared times are off by up to 90%.
  bool IsReliable(const LedgerJob& job,
                  const TaskRef& task,
                  const LiveRun& run);
  // Time that a machine of usual speed would need for what the run has done
  // since its start.
  Duration WorkDone(const LedgerJob& job,
                    const LedgerWorker& worker,
                    const TaskRef& task,
                    const LiveRun& run);

  Time now() const { return now_; }
  const Ledger& ledger() const { return ledger_; }

 private:
  const Options options_;
  const Time now_;
  const std::int64_t unix_ms_;
  const Ledger& ledger_;
  std::unordered_map<const LedgerJob*, JobForecast> jobs_;
  std::unordered_map<const LedgerWorker*, double> slowness_;
};

// Multiplies a duration; the result is at most kMaxDuration.
Duration Scale(Duration duration, double factor);

}  // namespace marjoramplank
