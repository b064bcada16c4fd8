#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace marjoramplank {

// Counters of a process. An enumerator is the index of its counter, so that an
// increment is one relaxed atomic addition.
enum class Counter : std::size_t {
  kSubmits,           // Requests to run a job.
  kSubmitsRefused,    // Rejected as "not run": limits, log outage, shutdown.
  kSubmitsUnsettled,  // Answered "not known yet".
  kSubmitsConflict,   // Request id reused with a different body.
  kJobsDone,
  kJobsFailed,
  kJobsCancelled,
  kJobsNotRun,
  kJobsMayHaveRun,
  kGangStarts,        // Attempts to start a gang.
  kGangStartsFailed,  // Attempts that a worker of the gang refused.
  kGangsLost,         // Runs that lost a worker of the gang.
  kAppends,           // Batches appended to the log.
  kAppendRecords,     // Records in them.
  kAppendsUnknown,    // Batches without a reply: stored or not is unknown.
  kAppendsFailed,     // Batches that the log rejected.
  kLogReads,
  kLogReadsFailed,
  kRecordsVoid,       // Records that had no effect when replayed.
  kStatementsVoid,    // Agent: own statements without effect.
  kLatePartsDropped,  // Task results of outdated attempts.
  kConfigConflicts,   // Configuration changes that lost a race.
  kOwnershipChanges,  // Regions acquired or released.
  kMessagesIn,
  kMessagesOut,
  kMessagesDropped,  // Peer too slow, or not connected.
  kTasksStarted,     // Agent: tasks passed to the worker.
  kTasksRefused,     // Agent: tasks that the worker refused.
  kTasksStopped,     // Agent: tasks stopped on request.
  kLeaseLapses,      // Agent: tasks whose lease expired.
  kWorkerCrashes,    // Planner: workers that crashed.
  kRunTimeSamples,   // Planner: run times that the run-time model has taken.
  kSlowStarts,       // Planner: starts with a member on a slow machine.
  kFastWaits,  // Planner: waits for fast machines, once a second for each unit.
  kSubmitsUnrunnable,  // Rejected: no known worker could ever run the job.
  kSubmitsTooLate,     // Rejected: could not end while it earns credit.
  // Accepted although admission would reject them: it could not be shown that
  // no other entry had accepted them.
  kSubmitsUnconfirmed,
  // Planner: units stopped, by cause.
  kStopsPreempted,
  kStopsEvacuated,
  kStopsStalled,
  kStopsMigrated,
  kPreemptionsDeclined,  // Planner: at most one a second for each unit.
  kCount,
};

enum class Gauge : std::size_t {
  kLogVisible,  // 1 while the log can be read.
  kFresh,       // 1 while the configuration is known to be the latest.
  kConfigVersion,
  kAgents,            // Agents with a recent heartbeat.
  kRegionsOwned,      // Regions that this process plans.
  kQueuedJobs,        // In those regions.
  kRunningJobs,       // In those regions.
  kPendingAppends,    // Records waiting to be appended to the log.
  kLiveJobs,          // Jobs in the log that have not ended.
  kUnmetGuarantees,   // Guarantees that the live workers cannot satisfy.
  kMachinesMeasured,  // Planner: machines of which run times are known.
  kSlowMachines,      // Planner: machines that are believed slow.
  // Expected wait of a new job at the last measurement, in the service where it
  // is longest; by priority, from 2 on together.
  kExpectedWaitMs0,
  kExpectedWaitMs1,
  kExpectedWaitMs2,
  kCount,
};

// Latency histograms with logarithmic buckets from 10 us to 1,000 s.
enum class Latency : std::size_t {
  kSubmitToRecorded,  // From the request to its record in the log.
  kSubmitToRunning,   // From the request to the start of the last task.
  kAppend,            // Append of one batch to the log.
  kGangStart,         // From the decision to the start of the last task.
  kStep,              // Processing of one input by the state machine.
  kCount,
};

// Metrics of one process. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Add(Counter c, std::uint64_t n = 1) {
    counters_[ToIndex(c)].fetch_add(n, std::memory_order_relaxed);
  }
  void Set(Gauge g, std::int64_t v) {
    gauges_[ToIndex(g)].store(v, std::memory_order_relaxed);
  }
  void Observe(Latency l, double seconds);
  std::uint64_t Get(Counter c) const {
    return counters_[ToIndex(c)].load(std::memory_order_relaxed);
  }
  std::int64_t Get(Gauge g) const {
    return gauges_[ToIndex(g)].load(std::memory_order_relaxed);
  }

  // Returns all metrics in the Prometheus text format, labelled with the
  // process.
  std::string Render(const std::string& process) const;

 private:
  template <typename E>
  static std::size_t ToIndex(E e) {
    return static_cast<std::size_t>(e);
  }
  struct Histograms;

  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::kCount)>
      counters_{};
  std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(Gauge::kCount)>
      gauges_{};
  std::unique_ptr<Histograms> histograms_;
};

}  // namespace marjoramplank
