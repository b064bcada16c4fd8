#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/placement.h"
#include "src/dispatch/step_time_cache.h"

namespace marjoramplank {

// A start time for a gang that does not fit now.
struct Reservation {
  TaskRef gang;  // First task.
  Time start_at{0};
  std::size_t workers = 0;
};

// Workers among which a gang is given its reservation.
enum class ReservationScope : std::uint8_t {
  kAnyWorker,
  kOneRack,   // All members in one rack.
  kDataRack,  // The rack of the step's data.
};

// EASY backfill with several reservations, in scheduling order: the first gangs
// that do not fit get the workers that are expected to have room soonest, and a
// start time. Units later in the order run there only in room that the gang
// leaves, or if they are expected to end by that time.
//
// Derived anew for each plan, so nothing expires. A run that lasts longer than
// its estimate moves the start time ahead of it by a part of its age: the
// longer it lasts, the longer are the units that may run meanwhile.
class ReservationPlanner {
 public:
  struct Options {
    std::size_t max_reservations = 3;
    // Of the usable workers.
    double max_reserved_fraction = 0.5;
    // A run over its estimate is expected to last this fraction of its age
    // more.
    double overdue_fraction = 0.25;
  };

  // The ledger, the run times and the table must outlive the planner. The runs
  // in the ledger must not change.
  ReservationPlanner(Options options,
                     Time now,
                     const Ledger& ledger,
                     StepTimeCache& step_times,
                     CapacityTable& table)
      : options_(options),
        now_(now),
        ledger_(ledger),
        step_times_(step_times),
        table_(table) {}

  // True until the reservations or the searches of this plan are used up.
  bool MayReserve() const;
  // Reserves workers for the gang where it is expected to end soonest; with
  // `starts_anywhere`, where it starts soonest. No effect if it can never fit
  // there, or if too many workers would be reserved.
  void Reserve(const WaitingUnit& gang,
               ReservationScope scope,
               bool starts_anywhere);
  // Reserves workers up to the speed class if the expected start of the gang is
  // acceptable. Empty: nothing was reserved.
  std::optional<Time> HoldBefore(
      const WaitingUnit& gang,
      ReservationScope scope,
      std::int32_t max_speed_class,
      const std::function<bool(Time)>& is_acceptable);
  // When there is expected to be room for one task after the other like the
  // unit, on workers up to the speed class. Ascending.
  std::vector<Time> ReadyTimes(const WaitingUnit& unit,
                               ReservationScope scope,
                               std::int32_t max_speed_class);

  const std::vector<Reservation>& reservations() const { return reservations_; }

 private:
  // Room for one member, from a time on.
  struct Slot {
    Time ready_at{0};
    const WorkerCapacity* worker = nullptr;
  };
  using WorkerList = std::vector<const WorkerCapacity*>;

  // `worker`: on which it runs.
  Time ExpectedEnd(const TaskRef& task,
                   const LiveRun& run,
                   const WorkerCapacity& worker);
  // Of the slowest member's worker.
  double SlownessOfGang(const LedgerJob& job, const TaskRef& task);
  const std::vector<Release>& ReleasesOf(const WorkerCapacity& worker);
  bool IsUsable(const WaitingUnit& unit, const WorkerCapacity& worker) const;
  void AppendSlots(const WaitingUnit& unit,
                   const WorkerCapacity& worker,
                   std::vector<Slot>& out);
  // Room for tasks like those of the unit on workers up to the speed class,
  // soonest first.
  std::vector<Slot> SortedSlots(const WorkerList& workers,
                                const WaitingUnit& unit,
                                std::int32_t max_speed_class);
  // The gang's members, soonest first. Empty: it never fits there.
  std::vector<Slot> FindSlots(const WorkerList& workers,
                              const WaitingUnit& gang,
                              std::int32_t max_speed_class);
  std::vector<Slot> FindSlotsInOneRack(const WaitingUnit& gang,
                                       std::int32_t max_speed_class);
  std::vector<Slot> FindSlotsInScope(const WaitingUnit& gang,
                                     ReservationScope scope,
                                     std::int32_t max_speed_class);
  // Returns the expected start. Empty: too many workers would be reserved.
  std::optional<Time> Hold(const WaitingUnit& gang,
                           const std::vector<Slot>& slots);

  const Options options_;
  const Time now_;
  const Ledger& ledger_;
  StepTimeCache& step_times_;
  CapacityTable& table_;
  std::size_t searches_ = 0;
  std::size_t reserved_workers_ = 0;
  std::vector<Reservation> reservations_;
  std::map<const WorkerCapacity*, std::vector<Release>> releases_;
};

// Tells which units may run on reserved workers all the same, so that a job
// does not wait with nothing running while half of the workers are idle.
class IdleJobs {
 public:
  IdleJobs(const Ledger& ledger, const CapacityTable& table);

  bool MayUseReserved(const WaitingUnit& unit) const;
  void SetRunning(const std::string& job) { running_jobs_.insert(job); }

 private:
  bool is_busy_ = false;  // Most of the capacity is in use.
  std::set<std::string> running_jobs_;
};

}  // namespace marjoramplank
