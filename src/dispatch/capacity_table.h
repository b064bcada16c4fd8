#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/waiting_unit.h"

namespace marjoramplank {

// Resources that a run is expected to free.
struct Release {
  Time at{0};
  Resources need;
};

// A worker is reserved for members of a gang.
struct WorkerHold {
  Time until{0};    // When the gang is expected to start.
  Resources spare;  // Expected to be free then, beside the gang's members.
};

// Speeds are compared by class, so that noise in what is learned does not
// outweigh best fit: 0 below a slowness of 1.3, then a class for each half
// octave.
std::int32_t SpeedClass(double slowness);
inline constexpr std::int32_t kAnySpeedClass =
    std::numeric_limits<std::int32_t>::max();

// Free capacity of one worker while a plan is made.
struct WorkerCapacity {
  const LedgerWorker* entry = nullptr;
  Resources free;               // Neither in use nor reserved by this plan.
  bool is_quarantined = false;  // Failed or refused lately.
  // A unit on trial runs here or is planned for it, so that nothing else is
  // started: if the worker crashes, that unit is to blame.
  bool hosts_trial = false;
  // The tasks that run here have not crashed it since the last one started.
  bool is_settled = true;
  // Of its machine, by the run-time model; see SpeedClass().
  double slowness = 1;
  std::int32_t speed_class = 0;
  bool is_known = false;  // The model has compared the machine with others.
  // Tasks that this plan places on the worker, by the first task of their step.
  std::map<TaskRef, std::int32_t> planned_tasks;
  std::vector<Release> planned_releases;  // By these tasks.
  std::optional<WorkerHold> hold;

  // Run time on it / that on the usual machine. Differences within class 0 do
  // not count.
  double RunTimeFactor() const { return speed_class == 0 ? 1 : slowness; }
  // Order of preference for work that needs fast machines: known ones of class
  // 0, unknown ones, then the slower classes.
  std::int32_t SpeedTier() const {
    return speed_class > 0 ? 2 * speed_class : (is_known ? 0 : 1);
  }
};

// Returns the first task of the task's step, which identifies the step.
inline TaskRef FirstTaskOfStep(TaskRef task) {
  task.index = 0;
  return task;
}

// Free capacity of every worker that may be given work.
class CapacityTable {
 public:
  CapacityTable() = default;
  CapacityTable(CapacityTable&&) = default;
  CapacityTable& operator=(CapacityTable&&) = default;
  // A copy would point at the workers of the original.
  CapacityTable(const CapacityTable&) = delete;
  CapacityTable& operator=(const CapacityTable&) = delete;

  void Add(const WorkerIncarnation& incarnation, const WorkerCapacity& worker);
  // Nullptr: not in the table.
  WorkerCapacity* Find(const WorkerIncarnation& incarnation);
  // Both in the order in which the workers were added. The pointers stay valid
  // as long as the table.
  const std::vector<const WorkerCapacity*>& workers() const {
    return worker_list_;
  }
  const std::map<std::string, std::vector<const WorkerCapacity*>>&
  workers_by_rack() const {
    return workers_by_rack_;
  }
  // Workers that host a unit on trial.
  std::size_t trial_hosts() const { return trial_hosts_; }
  void MarkTrialHost(const WorkerIncarnation& incarnation);
  // Takes the capacity for a member of the unit until `expected_end`.
  void Reserve(const WorkerIncarnation& incarnation,
               const WaitingUnit& unit,
               Time expected_end);
  // Largest RunTimeFactor() of the workers of each class.
  const std::map<std::int32_t, double>& speed_classes() const {
    return speed_classes_;
  }
  // True if machines are known that are slower than usual.
  bool HasSlowWorkers() const {
    return !speed_classes_.empty() && speed_classes_.rbegin()->first > 0;
  }
  // Searches call this with the number of workers that they examine.
  void CountExamined(std::size_t workers) const {
    examined_workers_ += static_cast<std::int64_t>(workers);
  }
  std::int64_t examined_workers() const { return examined_workers_; }

 private:
  std::map<WorkerIncarnation, WorkerCapacity> workers_;
  std::vector<const WorkerCapacity*> worker_list_;
  std::map<std::string, std::vector<const WorkerCapacity*>> workers_by_rack_;
  std::map<std::int32_t, double> speed_classes_;
  std::size_t trial_hosts_ = 0;
  mutable std::int64_t examined_workers_ = 0;
};

}  // namespace marjoramplank
