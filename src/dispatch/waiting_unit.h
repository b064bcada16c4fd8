#pragma once

#include <cstddef>
#include <vector>

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
  // Expected run time of its tasks on a machine of usual speed.
  Duration run_time{0};
  // Expected time to the end of the job if the unit starts now and everything
  // runs on such machines.
  Duration remaining{0};
  Time planned_at{0};
  // Its account already uses its fair share: see OrderByFairShare().
  bool exceeds_fair_share = false;
  // When its capacity is free again, with a margin, if it starts now on such
  // machines; kNever for tasks that last.
  Time expected_end = kNever;
  // Workers have crashed under it: see CapacityTable.
  bool needs_trial = false;

  // `expected_end` on machines with this slowness.
  Time ExpectedEndAt(double slowness) const {
    return expected_end == kNever
               ? kNever
               : planned_at + ScaledBy(slowness, expected_end - planned_at);
  }
};

// Units that wait of one step of an occurrence, in their order: all of them, or
// those after some that are planned before.
struct WaitingStep {
  WaitingUnit first;  // Of all units, but for `unit` and the task's index.
  // Also those that don't wait.
  const RunLengthVector<RunUnit>* units = nullptr;
  std::size_t skipped_units = 0;  // Of those that wait, planned elsewhere.
  std::size_t waiting_units = 0;  // To be planned.
};

}  // namespace marjoramplank
