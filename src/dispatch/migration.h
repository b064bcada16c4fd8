#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "src/dispatch/capacity_table.h"
#include "src/dispatch/placement.h"
#include "src/dispatch/run_forecast.h"

namespace marjoramplank {

// When a run goes on elsewhere.
struct MigrationPolicy {
  // What a migration costs at most: the longest grace period of a stop on the
  // platform, the longest restore, and the delays of the records.
  Duration stop_time{900};
  Duration restore_time{600};
  Duration travel_time{1000};
  // Least gain: a part of the time that remains here, and this much.
  double min_saved_fraction = 0.25;
  Duration min_saved{1000};
  // A run that saves no checkpoint begins anew: only if it has done less than
  // this part of its work, and saves more than that part of its time.
  double max_lost_fraction = 0.1;
  double min_saved_fraction_anew = 0.5;
  // Machines below this slowness are not slow. The run times of the tasks of
  // one step differ by about 15%.
  double min_slowness = 1.3;
  // A machine's speed is known from this many samples on.
  std::size_t min_samples = 2;
  // A run that follows on another is left alone until it is this old.
  Duration min_age_after_stop{3000};
  // An expected end is missed by this part of the time until then.
  double end_margin = 0.25;
  std::int32_t max_migrations = 1;  // Of one unit.
  std::size_t max_per_plan = 4;
};

// A unit that is stopped here to go on elsewhere.
struct Migration {
  TaskRef first;
  std::int32_t run = 1;
  Duration remaining_here{0};
  // With the stop, the restore and the delays.
  Duration remaining_there{0};
  double slowness_here = 1;   // Of the slowest worker.
  double slowness_there = 1;  // Likewise.
};

// The running unit as one that waits for capacity.
WaitingUnit MakeWaitingUnit(RunForecast& forecast,
                            const LedgerJob& job,
                            const TaskRef& first);

// Moves units that slow machines make late to faster ones that are free. Used
// for one plan.
class MigrationPlanner {
 public:
  // All must outlive it.
  MigrationPlanner(const MigrationPolicy& policy,
                   RunForecast& forecast,
                   CapacityTable& table);

  // Reserves capacity for units that are being migrated and come before the
  // waiting unit, so that it does not take what they are stopped for.
  void ReserveBefore(const WaitingUnit& next);
  // Chooses units to be migrated and reserves their capacity. `unplaced`:
  // waiting units without capacity; what one of them wants is not used by units
  // of the same or a lower priority. `stopped_units`: by this plan.
  std::vector<Migration> Choose(const std::vector<const WaitingUnit*>& unplaced,
                                const std::set<TaskRef>& stopped_units);

 private:
  struct Candidate {
    WaitingUnit unit;  // As if it waited.
    Migration migration;
    // On a machine of usual speed, with the costs of the migration.
    Duration rest_on_usual{0};
    Duration overhead{0};
    UnitPlacement placement;
  };

  // The unit of the task, if it runs and may be migrated.
  std::optional<Candidate> MakeCandidate(const TaskRef& task,
                                         const LiveRun& run);
  // Fills in the times, except those there. Returns false if they are
  // not known, or if too much would be lost.
  bool MeasureProgress(Candidate& candidate);
  // Finds the fastest capacity for all members. What the unit itself uses is
  // free by then.
  std::optional<UnitPlacement> FindFaster(const WaitingUnit& unit);
  std::optional<UnitPlacement> FindFasterAmong(
      const std::vector<const WorkerCapacity*>& workers,
      const WaitingUnit& unit);
  bool IsWorthIt(Candidate& candidate);
  // True if a unit of the same or a higher priority waits for the capacity.
  bool IsWanted(const Candidate& candidate,
                const std::vector<const WaitingUnit*>& unplaced);
  void Reserve(const WaitingUnit& unit, const UnitPlacement& placement);
  // Reserves capacity for the first of `migrating_` that has none.
  void ReserveNext();
  bool HasFreeFastWorker();
  std::vector<Candidate> FindCandidates(const std::set<TaskRef>& stopped_units);
  double SlownessOf(const WorkerIncarnation& incarnation);
  bool IsKnownSlow(const LedgerWorker& worker);

  const MigrationPolicy& policy_;
  RunForecast& forecast_;
  CapacityTable& table_;
  // Units that are stopping to be migrated, by descending rank.
  std::vector<WaitingUnit> migrating_;
  std::size_t reserved_ = 0;  // Of these.
};

}  // namespace marjoramplank
