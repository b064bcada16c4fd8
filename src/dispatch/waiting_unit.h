#pragma once

#include "src/dispatch/deadline.h"
#include "src/jobs/ledger.h"

namespace marjoramplank {

// A unit that is ready to run, with its scheduling order and its needs.
struct WaitingUnit {
  const LedgerJob* job = nullptr;
  const JobStep* step = nullptr;
  const RunUnit* unit = nullptr;
  TaskRef first_task;             // Identifies the unit.
  std::int32_t member_count = 1;  // Tasks of the gang; 1 for a single task.
  Resources member_need;  // Of each member, as counted against a worker.
  Time due_at{0};         // Its occurrence may run from this time on.
  Time deadline{0};       // The objective is to end by then.
  DeadlineOutlook outlook = DeadlineOutlook::kOnTime;
  bool is_guaranteed = false;  // Within its account's guarantee.
  // Its account already uses its fair share: see OrderByFairShare().
  bool exceeds_fair_share = false;
  // If it starts now; kNever for tasks that last.
  Time expected_end = kNever;
  // Workers have crashed under it: see CapacityTable.
  bool needs_trial = false;
};

}  // namespace marjoramplank
