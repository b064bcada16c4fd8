#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// Work that a job still has on workers with one label, by learned run times on
// a machine of usual speed.
struct PendingWork {
  std::string account;
  std::string label;  // That the workers must have. Empty: any.
  std::int32_t priority = 0;
  bool is_running = false;  // Else waiting.
  Time deadline{0};         // Of the job.
  double core_seconds = 0;
  double accelerator_seconds = 0;
};

struct ServiceLoad {
  std::vector<PendingWork> work;
  std::set<std::string> accounts;  // With work.
};

// Work of all open jobs, by service.
struct LoadSnapshot {
  Time measured_at{0};
  bool is_measured = false;
  std::map<std::string, ServiceLoad> services;
};

// Measures the work of all open jobs. What is uncertain is left out, so that
// the result is rather too low: tasks that last, occurrences of recurring jobs
// that wait, and waiting jobs that can earn no credit any more and are served
// last.
LoadSnapshot MeasureLoad(Time now,
                         const Ledger& ledger,
                         Duration default_estimate);

// Resources that a task of the step takes from a worker.
Resources NeedOnWorker(const JobStep& step);

}  // namespace marjoramplank
