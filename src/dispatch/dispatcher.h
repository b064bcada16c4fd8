#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/fast_wait.h"
#include "src/dispatch/migration.h"
#include "src/dispatch/placement.h"
#include "src/dispatch/preemption.h"
#include "src/dispatch/reservation.h"
#include "src/dispatch/step_time_cache.h"
#include "src/dispatch/trial_rules.h"
#include "src/jobs/lease_timing.h"
#include "src/jobs/ledger.h"
#include "src/rules/rules.h"

namespace marjoramplank {

// Decides which tasks start on which workers and which running tasks are
// preempted. Deterministic and free of side effects: uses no thread, socket or
// clock, and the same input gives the same decisions. Keeps no state between
// plans; everything is derived from the ledger and the rules.
class Dispatcher {
 public:
  struct Options {
    LeaseTiming leases;
    // A worker that its agent has not heard for this long gets no new work. An
    // idle worker answers its agent each second, and the agent reports that
    // with its next heartbeat.
    Duration worker_silence_limit{3000};
    // A worker with this many failed runs in a row is quarantined ...
    std::int32_t quarantine_failures = 2;
    // ... for this long: a few run times of the shortest tasks.
    Duration quarantine_time{6000};
    // A worker that refused a start gets no work for this long, doubled with
    // each refusal in a row: it is unhealthy, or counts its free capacity
    // differently.
    Duration refusal_backoff{300};
    Duration refusal_backoff_max{4000};
    // A machine whose worker crashed gets no work for this long, doubled with
    // each crash in a row: a worker that goes down and up stays empty.
    Duration crash_backoff{1500};
    Duration crash_backoff_max{6000};
    TrialRules::Options trials;
    // Locality wait: a unit that runs slower away from its data, or spread over
    // racks, waits for a preferred rack for this fraction of its estimate.
    double locality_wait_fraction = 0.6;
    // A unit within its guarantee does so for this long at most: it must start
    // 2.7 s after its acknowledgement whatever its estimate is, and runs that
    // it preempts take up to 0.9 s to stop.
    Duration guaranteed_locality_limit{1200};
    // Most work that a unit of priority 0 beyond its account's guarantee may
    // cost its victims.
    double preemption_limit_core_seconds = 1500;
    PreemptionPolicy preemption;
    MigrationPolicy migration;
    // Estimated run time of a step that has no declared or learned one.
    Duration default_estimate{5000};
    // Steps of due occurrences of one job that a plan looks at, in their order;
    // a later plan looks at those behind.
    std::size_t max_waiting_steps_of_job = 512;
    // How long before its due time an occurrence of a recurring job may start.
    Duration max_early_start{0};
    // Declared run times are uncertain: a unit counts as ended by the start
    // time of a reservation only with this margin.
    double backfill_margin = 1.25;
    ReservationPlanner::Options reservations;
    FastWait::Options fast_wait;
    // What an urgent unit's victims on fast machines may lose, for each
    // core-second that it saves there against a slow machine that has room.
    double fast_preemption_weight = 1;
  };

  // A preemption of a plan: which unit displaces which run, and at what cost.
  struct Preemption {
    TaskRef for_unit;
    bool is_guaranteed = false;    // `for_unit` is within its guarantee.
    TaskRef victim;                // First task of the displaced unit.
    double lost_core_seconds = 0;  // By all victims of `for_unit`.
    double gain = 0;               // See PreemptionPolicy. 0: guaranteed.
    double loss = 0;
  };
  // A unit that could have displaced others but does not.
  struct DeclinedPreemption {
    TaskRef for_unit;
    PreemptionVerdict verdict = PreemptionVerdict::kNoVictims;
    std::size_t stops = 0;         // That it would have needed.
    double lost_core_seconds = 0;  // By all of them.
    double gain = 0;               // 0: not weighed.
    double loss = 0;
  };
  // A start, with what was expected of it.
  struct Start {
    TaskRef unit;
    Duration expected_run_time{0};
    double slowness = 1;  // Of the slowest member's machine.
    std::int32_t speed_class = 0;
    Duration sample_age{0};  // Oldest of its members' machines. 0: unknown.
    SpeedOrder speed_order = SpeedOrder::kIgnored;
  };
  struct LostWorker {
    WorkerIncarnation incarnation;
    Duration silence{0};  // Of its agent.
  };
  // What a plan considered. For logs only; no decision depends on it.
  struct Trace {
    std::vector<LostWorker> lost_workers;
    std::size_t usable_workers = 0;
    std::size_t waiting_units = 0;
    // Workers that were examined, counted once for each search.
    std::int64_t examined_workers = 0;
    std::vector<Start> starts;  // In the order of their decisions.
    std::vector<FastWait::Wait> fast_waits;
    std::vector<Preemption> preemptions;
    std::vector<DeclinedPreemption> declined_preemptions;
    std::vector<Migration> migrations;
    std::vector<Reservation> reservations;
  };

  struct Input {
    Time now{0};
    std::int64_t unix_ms = 0;  // Best known time of day.
    std::int64_t epoch = 0;    // Epoch of the planner that makes the plan.
    const Ledger& ledger;
    const RulesView& rules;
    // First tasks of units whose start the log does not take. They get no
    // capacity, so that others may have it.
    const std::set<TaskRef>* excluded_units = nullptr;
    Trace* trace = nullptr;  // Filled if set.
    // Set to what waits, in scheduling order, if set. Points into the ledger.
    std::vector<WaitingStep>* order = nullptr;
  };

  explicit Dispatcher(Options options)
      : options_(options), trials_(options.trials) {}

  // Returns the decisions in the order in which they must be appended to the
  // log. Each is sound after those before it: a start uses only capacity that
  // is free already, never that of a run that the same plan stops.
  std::vector<LedgerRecord> Plan(const Input& in) const;

  // The workers that a plan may use, before it takes any of their capacity.
  // Points into the ledger.
  CapacityTable BuildCapacityTable(const Input& in) const;

 private:
  struct PlanState;

  bool IsQuarantined(const Input& in,
                     const LedgerAgent& agent,
                     const LedgerWorker& worker) const;
  // Queues of open jobs that the rules have changed.
  static std::vector<QueueChanged> FindChangedQueues(const Input& in);
  // In scheduling order.
  std::vector<WaitingStep> SortedWaitingSteps(
      const Input& in,
      StepTimeCache& step_times,
      const std::set<std::string>& guaranteed_jobs,
      const std::vector<QueueChanged>& changed_queues) const;
  void AppendWaitingSteps(const Input& in,
                          const LedgerJob& job,
                          const StepTimes& run_times,
                          std::vector<WaitingStep>& out) const;
  // Those of one occurrence, which is due.
  void AppendWaitingStepsOf(const Input& in,
                            const LedgerJob& job,
                            std::size_t occurrence,
                            const std::vector<StepState>& states,
                            Time due_at,
                            const StepTimes& run_times,
                            std::vector<WaitingStep>& out) const;
  // Empty: the occurrence is not due yet.
  std::optional<Time> DueTime(const Input& in,
                              const LedgerJob& job,
                              std::size_t occurrence) const;
  void PlanStep(PlanState& state, const WaitingStep& step) const;
  // Returns false if the other units of the step cannot be placed either: a
  // plan only takes capacity.
  bool PlanUnitOfStep(PlanState& state, WaitingUnit& unit) const;
  // Starts the unit, preempts for it or lets it wait for faster machines. Any
  // other verdict: there is no room.
  PreemptionVerdict PlanUnit(PlanState& state, const WaitingUnit& unit) const;
  static bool MayPreempt(const WaitingUnit& unit);
  std::set<std::string> JobsWithinGuarantee(const Input& in) const;
  static void ReservePlacement(const WaitingUnit& unit,
                               const UnitPlacement& placement,
                               CapacityTable& table);
  // Of an agent that was not heard for so long that none can arrive any more.
  static void ExpireLateStarts(const Input& in,
                               const std::string& name,
                               const LedgerAgent& agent,
                               std::vector<LedgerRecord>& out);
  void DeclareLostWorkers(const Input& in,
                          std::vector<LedgerRecord>& out) const;
  // Returns the units that are stopped.
  std::set<TaskRef> StopStalledRuns(const Input& in,
                                    std::vector<LedgerRecord>& out) const;
  Time ExpectedEnd(Time now, const JobStep& step, Duration run_time) const;
  // True while the unit waits for its preferred rack.
  bool WaitsForRack(const Input& in,
                    const CapacityTable& table,
                    const WaitingUnit& unit) const;
  // Tries the preferred racks and workers first, then the others.
  std::optional<UnitPlacement> FindPlacementWithFallback(
      const Input& in,
      const CapacityTable& table,
      const WaitingUnit& unit,
      PlacementOptions placement_options) const;
  // Reserves workers for a gang that does not fit.
  void ReserveForGang(const Input& in,
                      const CapacityTable& table,
                      const WaitingUnit& unit,
                      ReservationPlanner& reservations) const;
  // Stops victims for the unit and reserves its capacity, if that is worth it.
  PreemptionVerdict Preempt(PlanState& state, const WaitingUnit& unit) const;
  // The same on fast machines, for an urgent unit that has room only on slow
  // ones, `slow`, and would end late there.
  bool PreemptOnFast(PlanState& state,
                     const WaitingUnit& unit,
                     const UnitPlacement& slow) const;
  // On fast machines if that is worth what it costs more than elsewhere.
  PreemptionDecision FindVictims(PlanState& state,
                                 const WaitingUnit& unit) const;
  // Core-seconds that the unit saves on machines of usual speed against a run
  // time of `slow_factor` times theirs, if it needs them to end in time; else
  // 0.
  double GainOnFast(const WaitingUnit& unit, double slow_factor) const;
  static void StopVictims(PlanState& state,
                          const WaitingUnit& unit,
                          const PreemptionDecision& decision);
  static void StopMigrating(PlanState& state);

  Options options_;
  TrialRules trials_;
};

}  // namespace marjoramplank
