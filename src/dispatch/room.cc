#include "src/dispatch/room.h"

namespace marjoramplank {

void RoomTable::Add(const WorkerLife& life, const WorkerRoom& room) {
  rooms_[life] = room;
  racks_[room.worker->report.rack].push_back(life);
}

WorkerRoom* RoomTable::Find(const WorkerLife& life) {
  const auto it = rooms_.find(life);
  return it == rooms_.end() ? nullptr : &it->second;
}

void RoomTable::Take(const WorkerLife& life,
                     const TaskRef& task,
                     const Resources& need) {
  if (WorkerRoom* room = Find(life)) {
    room->free -= need;
    ++room->planned[StepOf(task)];
  }
}

}  // namespace marjoramplank
