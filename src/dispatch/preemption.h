#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/dispatch/expected_capacity.h"
#include "src/dispatch/placement.h"
#include "src/dispatch/preemption_value.h"
#include "src/dispatch/run_forecast.h"

namespace marjoramplank {

// Why a unit stops nobody, or kAccepted.
enum class PreemptionVerdict : std::uint8_t {
  kAccepted,
  kNoVictims,     // Not even with every run gone that it may stop.
  kNoCredit,      // It is too late to earn any.
  kTooManyStops,  // More than the policy allows.
  kCostLimit,     // More lost work than any unit may cost.
  kCanWait,       // As much is earned with capacity that is freed anyway.
  kLossTooHigh,   // Its victims lose more than it gains.
};
const char* ToString(PreemptionVerdict verdict);

// What a unit would stop, and whether it does.
struct PreemptionDecision {
  PreemptionVerdict verdict = PreemptionVerdict::kAccepted;
  // Victims: the first task of each unit to be stopped. The rest of its
  // capacity is free, or is freed by runs that stop or end anyway.
  UnitPlacement placement;
  // Of work beyond a guarantee, see PreemptionPolicy.
  double gain = 0;
  double loss = 0;
};

// Selects preemption victims with little lost work, and weighs the loss against
// the gain. Used for one plan: what it has learned of a worker's runs is used
// again for later units, and what earlier units stop costs later ones nothing.
class PreemptionSearch {
 public:
  // All must outlive the search. The runs in the ledger must not change.
  // `guaranteed_jobs`: jobs within the guarantee of their account.
  PreemptionSearch(const PreemptionPolicy& policy,
                   RunForecast& forecast,
                   const CapacityTable& table,
                   const std::set<std::string>& guaranteed_jobs)
      : policy_(policy),
        forecast_(forecast),
        table_(table),
        guaranteed_jobs_(guaranteed_jobs),
        value_(policy, forecast),
        capacity_(policy.stop_time, forecast, table) {}

  // Finds victims so that the unit fits, and decides whether they are worth
  // it. Always accepted within a guarantee, if there are enough.
  // `cost_limit`: most core-seconds of lost work beyond a guarantee.
  PreemptionDecision Decide(const WaitingUnit& unit, double cost_limit);
  // Finds victims so that the unit fits. Empty: it does not fit even with every
  // preemptible run gone. Workers of higher speed classes than
  // `max_speed_class` are left out.
  std::optional<UnitPlacement> Find(
      const WaitingUnit& unit,
      bool allow_any_rack,
      std::int32_t max_speed_class = kAnySpeedClass);
  // Weighs the victims of a placement against a start at `later` without them,
  // by the credit that both sides earn.
  PreemptionDecision Weigh(const WaitingUnit& unit,
                           UnitPlacement placement,
                           Time later);
  // The plan stops this unit, for whatever cause.
  void MarkStopped(const TaskRef& first, bool is_guaranteed);

 private:
  // The runs of a unit on one worker.
  struct Victim {
    const TaskRef* task = nullptr;  // Its first one on the worker.
    const LedgerJob* job = nullptr;
    const RunUnit* unit = nullptr;
    Resources need;
    bool is_urgent = false;  // Displaced only if nothing else makes room.
    Duration remaining{0};
    double lost_work = 0;  // Core-seconds, by all of the unit's runs.
    double cost = 0;       // What the victims are selected by.
  };
  // Preemptible units of a worker, those that are not urgent first, by
  // ascending cost.
  struct VictimList {
    std::vector<Victim> victims;
    Resources total;   // Of all victims.
    Resources ending;  // Of runs that stop, or that end as soon as a stop.
    bool has_one_size = true;  // All victims use the same resources.
  };
  struct Option;
  using WorkerList = std::vector<const WorkerCapacity*>;
  using Victims = std::vector<const Victim*>;
  using UnitSet = std::unordered_set<const RunUnit*>;

  // The units that may preempt the same tasks.
  struct Rank {
    std::int32_t priority = 0;
    bool is_guaranteed = false;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  static Rank RankOf(const WaitingUnit& unit);

  // Units of the same shape find the same victims.
  using Shape = std::tuple<Rank,
                           std::int64_t,
                           std::int64_t,
                           std::int64_t,
                           std::int32_t,
                           bool,
                           std::string,
                           std::string>;
  static Shape ShapeOf(const WaitingUnit& unit);
  PreemptionDecision Search(const WaitingUnit& unit, double cost_limit);

  const VictimList& VictimsOn(const WorkerCapacity& worker, const Rank& rank);
  VictimList ListVictims(const LedgerWorker& entry, const Rank& rank);
  // True if a unit of this rank may preempt tasks of the step.
  bool MayPreempt(const Rank& rank,
                  const LedgerJob& job,
                  const JobStep& step) const;
  // True if work beyond a guarantee must leave the run alone for now.
  bool IsSpared(const LiveRun& run, const RunUnit& unit) const;
  void AppendVictim(const LedgerWorker& entry,
                    const TaskRef& task,
                    const LiveRun& run,
                    const Rank& rank,
                    VictimList& out);
  double CostOf(const Victim& victim);
  bool IsChosen(const Victim& victim) const {
    return chosen_.contains(victim.unit) || stopped_.contains(victim.unit);
  }

  Option FindOnWorker(const WorkerCapacity& worker,
                      const WaitingUnit& unit,
                      std::int32_t wanted_members);
  // `wanted_members`: not more than the unit may have on the worker.
  static Option SelectOnWorker(const WorkerCapacity& worker,
                               const WaitingUnit& unit,
                               std::int32_t wanted_members,
                               const Resources& free,
                               Victims candidates);
  std::vector<Option> FindOptions(const WorkerList& workers,
                                  const WaitingUnit& unit,
                                  std::int32_t max_speed_class);
  // Searches the workers of the units that were chosen on another one again.
  void UpdateOptions(const WaitingUnit& unit,
                     const Victims& chosen,
                     std::vector<Option>::iterator begin,
                     std::vector<Option>::iterator end);
  std::optional<UnitPlacement> FindOnWorkers(const WorkerList& workers,
                                             const WaitingUnit& unit,
                                             std::int32_t max_speed_class);
  // Drops units that the members do not need, most expensive first: what a gang
  // frees on several workers may make up for others.
  void DropUnneeded(const WaitingUnit& unit, std::vector<Option>& picks);
  UnitPlacement MakePlacement(const WaitingUnit& unit,
                              const std::vector<Option>& picks) const;
  static void PruneVictims(const WaitingUnit& unit,
                           Resources free,
                           std::int32_t fitting_members,
                           Victims& victims);
  double LossOf(const UnitPlacement& placement);

  const PreemptionPolicy& policy_;
  RunForecast& forecast_;
  const CapacityTable& table_;
  const std::set<std::string>& guaranteed_jobs_;
  PreemptionValue value_;
  ExpectedCapacity capacity_;
  // By worker and rank of the preempting unit.
  std::map<std::pair<const WorkerCapacity*, Rank>, VictimList> victims_;
  // Shapes for which there is nothing in this plan any more: it only takes
  // capacity, and stops count towards its limit.
  std::map<Shape, PreemptionVerdict> refused_;
  UnitSet stopped_;  // By this plan.
  UnitSet chosen_;   // For the unit that is searched for.
  std::int32_t stops_beyond_guarantees_ = 0;
  // A limit of stops has ruled out victims of the current search.
  bool has_hit_stop_limit_ = false;
};

// Work lost if the run is stopped now, core-seconds of a machine of usual
// speed.
double LostWork(RunForecast& forecast,
                const LedgerJob& job,
                const LedgerWorker& worker,
                const TaskRef& task,
                const LiveRun& run);

}  // namespace marjoramplank
