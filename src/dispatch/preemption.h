#pragma once

#include <optional>

#include "src/dispatch/placement.h"

namespace marjoramplank {

// Finds the victims that lose least so that a guaranteed unit gets room. Tasks
// that are stopping already cost nothing. Empty: not even with every task of a
// lower priority gone.
std::optional<Place> FindPreemption(Time now,
                                    const Ledger& ledger,
                                    const RoomTable& rooms,
                                    const WaitingUnit& unit,
                                    bool any_rack);

// Core-seconds that stopping the run now would throw away.
double WorkLost(Time now,
                const Ledger& ledger,
                const TaskRef& task,
                const LiveRun& run);

}  // namespace marjoramplank
