#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/placement.h"

namespace marjoramplank {

// Selects preemption victims with little lost work. Used for one plan: what it
// has learned of a worker's runs is used again for later units.
class PreemptionSearch {
 public:
  // All but the time must outlive the search. The runs in the ledger must not
  // change. `guaranteed_jobs`: jobs within the guarantee of their account.
  PreemptionSearch(Time now,
                   const Ledger& ledger,
                   const CapacityTable& table,
                   const std::set<std::string>& guaranteed_jobs)
      : now_(now),
        ledger_(ledger),
        table_(table),
        guaranteed_jobs_(guaranteed_jobs) {}

  // Finds victims so that the unit fits. Tasks that are stopping already cost
  // nothing. Empty: the unit does not fit even with every preemptible task of a
  // lower priority gone. Workers of higher speed classes than
  // `max_speed_class` are left out.
  std::optional<UnitPlacement> Find(
      const WaitingUnit& unit,
      bool allow_any_rack,
      std::int32_t max_speed_class = kAnySpeedClass);

 private:
  struct Victim {
    TaskRef task;
    Resources need;
    bool is_urgent = false;  // Displaced only if nothing else makes room.
    double cost = 0;
  };
  // Preemptible runs of a worker, those that are not urgent first, by ascending
  // cost.
  struct VictimList {
    std::vector<Victim> victims;
    Resources total;  // Of all victims.
  };
  struct Option;
  using WorkerList = std::vector<const WorkerCapacity*>;

  // The units that may preempt the same tasks.
  struct Rank {
    std::int32_t priority = 0;
    bool is_guaranteed = false;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  static Rank RankOf(const WaitingUnit& unit);

  const VictimList& VictimsOn(const WorkerCapacity& worker, const Rank& rank);
  VictimList ListVictims(const LedgerWorker& entry, const Rank& rank) const;
  // True if a unit of this rank may preempt tasks of the step.
  bool MayPreempt(const Rank& rank,
                  const LedgerJob& job,
                  const JobStep& step) const;
  Option FindOnWorker(const WorkerCapacity& worker,
                      const WaitingUnit& unit,
                      std::int32_t wanted_members);
  std::optional<UnitPlacement> FindOnWorkers(const WorkerList& workers,
                                             const WaitingUnit& unit,
                                             std::int32_t max_speed_class);
  static void PruneVictims(const WaitingUnit& unit,
                           const WorkerCapacity& worker,
                           Resources free,
                           std::int32_t fitting_members,
                           std::vector<const Victim*>& victims);

  const Time now_;
  const Ledger& ledger_;
  const CapacityTable& table_;
  const std::set<std::string>& guaranteed_jobs_;
  // By worker and rank of the preempting unit.
  std::map<std::pair<const WorkerCapacity*, Rank>, VictimList> victims_;
};

// Work lost if the run is stopped now, core-seconds.
double LostWork(Time now,
                const Ledger& ledger,
                const TaskRef& task,
                const LiveRun& run);

}  // namespace marjoramplank
