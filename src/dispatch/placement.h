#pragma once

#include <optional>
#include <vector>

#include "src/dispatch/room.h"
#include "src/dispatch/waiting_unit.h"

namespace marjoramplank {

// Where the members of a unit run, and what stands in the way.
struct Place {
  std::vector<MemberPlace> members;
  std::vector<TaskRef> victims;  // Tasks that must end first. Empty: none.
  double cost = 0;               // Work lost by the victims, core-seconds.
};

// How free room is searched.
struct PlaceRules {
  bool any_rack = false;       // Tight gangs may spread, data may be far away.
  bool distrusted = false;     // Also workers that failed lately.
  bool repeat_worker = false;  // Also workers where this unit failed before.
};

// Finds free room for every member, or none. Prefers racks and workers that it
// fills up, so that whole workers stay whole.
std::optional<Place> FindPlace(const RoomTable& rooms,
                               const WaitingUnit& unit,
                               const PlaceRules& rules);

// True if the unit fits one rack with nothing else running there.
bool FitsSomeRack(const RoomTable& rooms, const WaitingUnit& unit);

// True if a worker of the rack that holds the unit's data could run it.
bool DataRackExists(const RoomTable& rooms, const WaitingUnit& unit);

// Members of the unit that a worker can take with this much room.
std::int32_t MembersThatFit(const WaitingUnit& unit,
                            const WorkerRoom& worker,
                            const Resources& room);

}  // namespace marjoramplank
