#pragma once

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/planner.h"

namespace marjoramplank::bench {

// Policies that the simulation can run. All take the same events and return the
// same kinds of decisions.

// Baseline: first come, first served with first fit, and backfill without
// reservations. Never stops a job and knows no guarantees.
class FirstFit {
 public:
  explicit FirstFit(bool is_partitioned) : is_partitioned_(is_partitioned) {}

  void SetInventory(Time now, const Inventory& inventory);
  void SetWorkerUp(const std::string& worker, bool up);
  void Submit(const PlannedJob& job);
  void OnEnded(const std::string& job, const RunResult& result);
  std::vector<Decision> Plan(Time now);

 private:
  struct Worker {
    WorkerSpec spec;
    bool up = true;
    std::uint32_t used_mask = 0;
    std::int32_t cores = 0, memory_mb = 0, slots = 0;
    // Account that the worker is assigned to, if partitioned.
    std::string owner;
  };
  struct WaitingJob {
    PlannedJob job;
    std::int32_t attempts = 0;
    std::int32_t failures = 0;
  };
  struct RunningJob {
    WaitingJob job;
    std::vector<TaskPlacement> placements;
  };

  bool TryStart(const WaitingJob& job, std::vector<TaskPlacement>& out);
  void Occupy(const JobSpec& spec,
              const std::vector<TaskPlacement>& task_placements,
              int direction);

  // Each account only uses the workers assigned to it.
  bool is_partitioned_;
  std::map<std::string, DataCentreSpec> data_centres_;
  std::vector<Worker> workers_;
  std::map<std::string, std::size_t> worker_index_;
  std::deque<WaitingJob> queue_;
  std::map<std::string, RunningJob> running_;
  std::vector<Decision> decisions_;
  bool pass_needed_ = false;
};

using Policy = std::variant<Planner, FirstFit>;

}  // namespace marjoramplank::bench
