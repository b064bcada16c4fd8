#pragma once

#include "src/dispatch/placement.h"

namespace marjoramplank {

// Time that a task takes away from its data's rack, or in a same-rack gang that
// is spread, divided by that near it; set by the platform.
inline constexpr double kRemoteFactor = 3;

// Whether the unit's job meets its deadline if the unit starts `delay` from now
// and takes `factor` times its run time. The job's later steps count as on
// machines of usual speed.
DeadlineOutlook OutlookAt(const WaitingUnit& unit,
                          Duration delay,
                          double factor);

// How the speed of machines counts for the unit. `is_remote`: it would run away
// from its preferred rack. Without slow workers in the table: not at all.
PlacementOptions ChooseSpeed(const CapacityTable& table,
                             const WaitingUnit& unit,
                             bool is_remote,
                             PlacementOptions options);

// True if tasks of the unit would run away from their data, or a same-rack gang
// in several racks.
bool IsRemote(CapacityTable& table,
              const WaitingUnit& unit,
              const UnitPlacement& placement);

// Expected run time of the placement / that on machines of usual speed near the
// step's data.
double RunTimeFactor(CapacityTable& table,
                     const WaitingUnit& unit,
                     const UnitPlacement& placement);

}  // namespace marjoramplank
