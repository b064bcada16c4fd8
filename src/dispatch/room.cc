#include "src/dispatch/room.h"

namespace marjoramplank {

void CapacityTable::Add(const WorkerLife& life, const WorkerCapacity& worker) {
  workers_[life] = worker;
  workers_by_rack_[worker.entry->report.rack].push_back(life);
}

WorkerCapacity* CapacityTable::Find(const WorkerLife& life) {
  const auto it = workers_.find(life);
  return it == workers_.end() ? nullptr : &it->second;
}

void CapacityTable::Reserve(const WorkerLife& life,
                            const TaskRef& task,
                            const Resources& need) {
  if (WorkerCapacity* worker = Find(life)) {
    worker->free -= need;
    ++worker->planned_tasks[FirstTaskOfStep(task)];
  }
}

}  // namespace marjoramplank
