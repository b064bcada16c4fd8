#include "src/dispatch/capacity_table.h"

#include <algorithm>
#include <cmath>

namespace marjoramplank {

std::int32_t SpeedClass(double slowness) {
  // Tasks of a step differ by about 15%, so that 1.3 is beyond noise.
  constexpr double kUsual = 1.3;
  constexpr double kClassesPerOctave = 2;
  return slowness < kUsual
             ? 0
             : 1 + static_cast<std::int32_t>(kClassesPerOctave *
                                             std::log2(slowness / kUsual));
}

void CapacityTable::Add(const WorkerIncarnation& incarnation,
                        const WorkerCapacity& worker) {
  const WorkerCapacity& stored =
      workers_.insert_or_assign(incarnation, worker).first->second;
  worker_list_.push_back(&stored);
  workers_by_rack_[worker.entry->report.rack].push_back(&stored);
  double& slowest = speed_classes_[worker.speed_class];
  slowest = std::max(slowest, worker.RunTimeFactor());
}

WorkerCapacity* CapacityTable::Find(const WorkerIncarnation& incarnation) {
  const auto it = workers_.find(incarnation);
  return it == workers_.end() ? nullptr : &it->second;
}

void CapacityTable::MarkTrialHost(const WorkerIncarnation& incarnation) {
  WorkerCapacity* worker = Find(incarnation);
  if (worker != nullptr && !worker->hosts_trial) {
    worker->hosts_trial = true;
    ++trial_hosts_;
  }
}

void CapacityTable::Reserve(const WorkerIncarnation& incarnation,
                            const WaitingUnit& unit,
                            Time expected_end) {
  WorkerCapacity* worker = Find(incarnation);
  if (worker == nullptr) {
    return;
  }
  worker->free -= unit.member_need;
  ++worker->planned_tasks[FirstTaskOfStep(unit.first_task)];
  worker->planned_releases.push_back(
      {.at = expected_end, .need = unit.member_need});
  if (worker->hold && expected_end > worker->hold->until) {
    worker->hold->spare -= unit.member_need;
  }
}

}  // namespace marjoramplank
