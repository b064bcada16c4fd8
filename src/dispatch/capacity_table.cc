#include "src/dispatch/capacity_table.h"

namespace marjoramplank {

void CapacityTable::Add(const WorkerIncarnation& life,
                        const WorkerCapacity& worker) {
  workers_[life] = worker;
  workers_by_rack_[worker.entry->report.rack].push_back(life);
}

WorkerCapacity* CapacityTable::Find(const WorkerIncarnation& life) {
  const auto it = workers_.find(life);
  return it == workers_.end() ? nullptr : &it->second;
}

void CapacityTable::Reserve(const WorkerIncarnation& life,
                            const TaskRef& task,
                            const Resources& need) {
  if (WorkerCapacity* worker = Find(life)) {
    worker->free -= need;
    ++worker->planned_tasks[FirstTaskOfStep(task)];
  }
}

}  // namespace marjoramplank
