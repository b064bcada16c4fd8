#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// Room of one worker while a plan is made.
struct WorkerRoom {
  const WorkerEntry* worker = nullptr;
  Resources free;                           // Not used and not set aside.
  bool distrusted = false;                  // Failed or refused lately.
  std::map<TaskRef, std::int32_t> planned;  // Tasks of a step in this plan.
};

// Names a step: its first task.
inline TaskRef StepOf(TaskRef task) {
  task.index = 0;
  return task;
}

// Free room of every worker that may be given work, by worker and by rack.
class RoomTable {
 public:
  void Add(const WorkerLife& life, const WorkerRoom& room);
  WorkerRoom* Find(const WorkerLife& life);
  const std::map<WorkerLife, WorkerRoom>& all() const { return rooms_; }
  const std::map<std::string, std::vector<WorkerLife>>& racks() const {
    return racks_;
  }
  // Sets room aside for a task of a step.
  void Take(const WorkerLife& life, const TaskRef& task, const Resources& need);

 private:
  std::map<WorkerLife, WorkerRoom> rooms_;
  std::map<std::string, std::vector<WorkerLife>> racks_;
};

}  // namespace marjoramplank
