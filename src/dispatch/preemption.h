#pragma once

#include <optional>

#include "src/dispatch/placement.h"

namespace marjoramplank {

// Selects preemption victims with little lost work, so that the unit fits.
// Tasks that are stopping already cost nothing. Empty: the unit does not fit
// even with every preemptible task of a lower priority gone.
std::optional<UnitPlacement> FindPreemption(Time now,
                                            const Ledger& ledger,
                                            const CapacityTable& table,
                                            const WaitingUnit& unit,
                                            bool allow_any_rack);

// Work lost if the run is stopped now, core-seconds.
double LostWork(Time now,
                const Ledger& ledger,
                const TaskRef& task,
                const LiveRun& run);

}  // namespace marjoramplank
