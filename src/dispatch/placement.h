#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "src/dispatch/capacity_table.h"
#include "src/dispatch/waiting_unit.h"

namespace marjoramplank {

// How the speed of machines counts among the workers with room.
enum class SpeedOrder : std::uint8_t {
  kIgnored,    // Best fit only.
  kFastFirst,  // The slowest member on the fastest machine possible.
  // The slowest machines up to PlacementOptions::slack_class, whole gangs on
  // slow ones; else as kFastFirst.
  kSlowFirst,
};
const char* ToString(SpeedOrder order);  // "any", "fast", "slow".

// Workers for the members of a unit, and the tasks to preempt for it.
struct UnitPlacement {
  std::vector<MemberPlace> members;
  std::vector<TaskRef> victims;  // Must end first. Empty: none.
  double cost = 0;               // Work lost by the victims, core-seconds.
  // Victims of the unit's own priority, which only use what a guarantee lends.
  std::int32_t urgent_victims = 0;
  // Of the slowest member's worker.
  std::int32_t speed_class = 0;
  double slowness = 1;
  SpeedOrder speed_order = SpeedOrder::kIgnored;  // By which it was found.
};

// Restrictions of a search that may be lifted; all apply by default.
struct PlacementOptions {
  // Same-rack gangs may spread, and tasks may run away from their data.
  bool allow_any_rack = false;
  // Also workers that failed or refused lately.
  bool allow_quarantined = false;
  // Also workers where this unit failed before.
  bool allow_failed_worker = false;
  // Also the room that is held for gangs with a reservation.
  bool allow_reserved = false;
  SpeedOrder speed_order = SpeedOrder::kIgnored;
  // Slowest class on which the unit meets its deadline with a margin.
  std::int32_t slack_class = 0;
  // Larger tasks wait for whole workers: do not split one more than best fit
  // would for the sake of speed.
  bool keep_whole_workers = false;
};

// Finds free capacity for every member of the unit. Empty: there is none.
// Prefers the racks and workers with the least free capacity (best fit), so
// that whole workers stay free for large tasks.
std::optional<UnitPlacement> FindUnitPlacement(const CapacityTable& table,
                                               const WaitingUnit& unit,
                                               const PlacementOptions& options);

// True if the unit would fit into one rack with nothing else running there.
bool FitsInOneRack(const CapacityTable& table, const WaitingUnit& unit);

// True if a worker, not quarantined, in the rack of the unit's data could run a
// member of the unit with nothing else running there.
bool CanRunInDataRack(const CapacityTable& table, const WaitingUnit& unit);

// Resources as a number of cores; an accelerator counts as eight.
double CoreEquivalent(const Resources& resources);

// True if nothing that runs on the worker or is planned for it forbids the
// unit: a unit on trial shares a worker only with tasks that have run there for
// a while, and nothing joins it.
bool MayShare(const WaitingUnit& unit, const WorkerCapacity& worker);

// Number of the unit's members that the worker could run in `available`.
std::int32_t MembersThatFit(const WaitingUnit& unit,
                            const WorkerCapacity& worker,
                            const Resources& available);

}  // namespace marjoramplank
