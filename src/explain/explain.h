#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/admission/admission.h"
#include "src/dispatch/dispatcher.h"

namespace marjoramplank {

// What a plan would do with a job if it were submitted now, and why. A forecast
// of one plan: later ones see what has changed in between.
struct Explanation {
  // Run time of a task of a step on a machine of usual speed.
  struct StepTime {
    enum class Source : std::uint8_t {
      kLearned,   // From finished runs of the queue, or of the job itself.
      kDeclared,  // Nothing is learned: as declared in the job.
      kDefault,   // Neither.
    };
    Duration expected{0};
    Duration pessimistic{0};  // 90th percentile.
    Source source = Source::kDefault;
  };

  // Rank of a step among all that waits, in the order in which plans compare
  // it: guarantee, priority, outlook, fair share, deadline.
  struct Position {
    std::size_t units_ahead = 0;
    std::size_t waiting_units = 0;  // Of the step.
    bool is_guaranteed = false;     // Within its account's guarantee.
    std::int32_t priority = 0;
    DeadlineOutlook outlook = DeadlineOutlook::kOnTime;
    // Of the step's units, those beyond their account's fair share, which come
    // later than `units_ahead` says.
    std::size_t units_beyond_fair_share = 0;
    Duration time_to_deadline{0};
  };

  // The workers of the job's service, by the first thing that keeps each from
  // a task of the step.
  struct Workers {
    std::size_t known = 0;
    std::size_t without_label = 0;
    std::size_t too_small = 0;    // For a task, with nothing else running.
    std::size_t closed = 0;       // In a closed data centre.
    std::size_t unavailable = 0;  // Draining, or not heard lately.
    std::size_t quarantined = 0;  // Failed, refused or crashed lately.
    std::size_t busy = 0;         // No room for a task beside what goes first.
    std::size_t with_room = 0;
    // Tasks of the step that have room, and that would have with nothing else
    // running.
    std::int64_t free_tasks = 0;
    std::int64_t possible_tasks = 0;
    std::size_t stopping_runs = 0;  // Whose capacity becomes free soon.
  };

  // A worker that a task starts on.
  struct Place {
    std::string worker;
    std::string agent;
    std::string rack;
    std::string data_centre;
    std::int32_t speed_class = 0;
    double slowness = 1;
    std::size_t samples = 0;
    Duration sample_age{0};  // 0: no samples.
    Resources capacity;
    Resources free;  // Before the plan.
    std::int32_t tasks = 1;
  };

  struct Victim {
    TaskRef unit;
    std::string queue;
    std::string account;
  };

  // A gang or a single task of a step that is ready.
  struct Unit {
    enum class Outcome : std::uint8_t {
      kStarts,
      kPreempts,      // Starts when its victims have stopped.
      kWaitsForFast,  // Faster machines are expected to be free soon.
      kReserved,      // Workers are reserved for the gang.
      kWaits,
    };
    TaskRef first_task;
    Outcome outcome = Outcome::kWaits;
    std::string reason;             // Of a wait.
    std::vector<Place> places;      // Of a start, one for each worker.
    Duration expected_run_time{0};  // Of a start, or after a fast wait.
    Duration expected_wait{0};      // Of a fast wait or a reservation.
    Duration slow_run_time{0};      // Of a fast wait: if it started now.
    std::size_t reserved_workers = 0;
    std::vector<Victim> victims;
    double lost_core_seconds = 0;  // By the victims.
  };

  struct Step {
    std::size_t step = 0;
    Position position;
    Workers workers;
    std::vector<Unit> units;         // The first kMaxListedUnits.
    std::size_t starting_units = 0;  // Of all of the step.
  };

  AdmissionDecision admission;
  Duration expected_wait{0};  // Of new jobs of its priority in its service.
  Duration ledger_age{0};
  std::vector<StepTime> step_times;
  std::vector<Step> ready_steps;  // That depend on no other.
};

const char* ToString(Explanation::StepTime::Source source);
const char* ToString(Explanation::Unit::Outcome outcome);
const char* ToString(DeadlineOutlook outlook);

// Units that are listed of a step.
inline constexpr std::size_t kMaxListedUnits = 100;

// The copy of the ledger that an explanation needs is refused beyond this
// number of units of open jobs. Measured with 240 workers: 4.7 MB for 20,145
// units, beside labels and dependencies of jobs, which are as in the ledger.
inline constexpr std::size_t kMaxExplainedUnits = 20'000;

struct ExplainInput {
  Time now{0};
  std::int64_t unix_ms = 0;
  Duration ledger_age{0};
  // Copy of the ledger: see Ledger::CopyForPlanning(). It must not know the
  // job.
  Ledger ledger;
  const RulesView& rules;
  JobRequest request;           // Valid, and not recurring.
  AdmissionDecision admission;  // Passed on.
};

// Plans with the job on the copy of the ledger. Pure.
Explanation Explain(const Dispatcher::Options& options, ExplainInput in);

}  // namespace marjoramplank
