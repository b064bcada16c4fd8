#include "src/dispatch/capacity_table.h"

namespace marjoramplank {

void CapacityTable::Add(const WorkerIncarnation& incarnation,
                        const WorkerCapacity& worker) {
  const WorkerCapacity& stored =
      workers_.insert_or_assign(incarnation, worker).first->second;
  worker_list_.push_back(&stored);
  workers_by_rack_[worker.entry->report.rack].push_back(&stored);
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
                            const WaitingUnit& unit) {
  WorkerCapacity* worker = Find(incarnation);
  if (worker == nullptr) {
    return;
  }
  worker->free -= unit.member_need;
  ++worker->planned_tasks[FirstTaskOfStep(unit.first_task)];
  worker->planned_releases.push_back(
      {.at = unit.expected_end, .need = unit.member_need});
  if (worker->hold && unit.expected_end > worker->hold->until) {
    worker->hold->spare -= unit.member_need;
  }
}

}  // namespace marjoramplank
