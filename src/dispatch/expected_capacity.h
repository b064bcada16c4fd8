#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "src/dispatch/placement.h"
#include "src/dispatch/run_forecast.h"

namespace marjoramplank {

// When waiting units can expect capacity without a preemption. Units are asked
// for in scheduling order: what one waits for is not counted on by the next.
// Used for one plan.
class ExpectedCapacity {
 public:
  // The forecast and the table must outlive it. `stop_time`: see
  // PreemptionPolicy.
  ExpectedCapacity(Duration stop_time,
                   RunForecast& forecast,
                   const CapacityTable& table)
      : stop_time_(stop_time), forecast_(forecast), table_(table) {}

  // When every member of the unit is expected to fit. kNever: not by runs that
  // end.
  Time ReadyAt(const WaitingUnit& unit);
  // Takes the capacity that ReadyAt() has just found for the unit.
  void Claim(const WaitingUnit& unit);

 private:
  struct Slot {
    Time ready_at{0};
    const WorkerCapacity* worker = nullptr;
  };
  using WorkerList = std::vector<const WorkerCapacity*>;

  const std::vector<Release>& ReleasesOf(const WorkerCapacity& worker);
  void AppendSlots(const WaitingUnit& unit, const WorkerCapacity& worker);
  // Fills `slots_` with the unit's members, the soonest ones first.
  Time FindSlots(const WaitingUnit& unit, const WorkerList& workers);

  const Duration stop_time_;
  RunForecast& forecast_;
  const CapacityTable& table_;
  std::unordered_map<const WorkerCapacity*, std::vector<Release>> releases_;
  std::unordered_map<const WorkerCapacity*, Resources> claims_;
  std::vector<Slot> slots_;
};

}  // namespace marjoramplank
