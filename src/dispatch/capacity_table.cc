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
                            const TaskRef& task,
                            const Resources& need) {
  if (WorkerCapacity* worker = Find(incarnation)) {
    worker->free -= need;
    ++worker->planned_tasks[FirstTaskOfStep(task)];
  }
}

}  // namespace marjoramplank
