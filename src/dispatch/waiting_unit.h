#pragma once

#include "src/dispatch/objective.h"
#include "src/jobs/ledger.h"

namespace marjoramplank {

// A unit whose turn has come, with what the order and the search need.
struct WaitingUnit {
  const JobEntry* job = nullptr;
  const JobStep* step = nullptr;
  const RunUnit* unit = nullptr;
  TaskRef first;
  std::int32_t tasks = 1;  // Members.
  Resources need;          // Of each, as counted against a worker.
  Time due{0};             // Since when it could have run.
  Time objective{0};       // It should be done by then.
  Chance chance = Chance::kInTime;
  bool guaranteed = false;  // Within its account's guarantee.
};

}  // namespace marjoramplank
