#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// Remembers the workers of each service for longer than the ledger counts them
// as present, so that a job is not taken for impossible while its workers are
// away for a moment or not discovered yet.
//
// Changes are dated by the update that sees them, which makes workers stay
// longer and the set settle later, never the other way round.
class KnownWorkers {
 public:
  struct Options {
    // The workers of a service are known once their set has not changed for
    // this long: agents report their workers within a few seconds of a start.
    Duration discovery_time{5000};
    // A worker that left counts as present for this long.
    Duration departure_memory{30'000};
  };

  KnownWorkers() = default;
  explicit KnownWorkers(const Options& options) : options_(options) {}

  // Call with each measurement of the load.
  void Update(Time now, const Ledger& ledger);
  // True if the service has a worker and its set is known.
  bool IsSettled(Time now, const std::string& service) const;
  // The workers of the service, with those that left lately. The pointers stay
  // valid until the next update.
  std::vector<const WorkerReported*> WorkersOf(
      const std::string& service) const;

 private:
  struct Worker {
    WorkerReported report;
    bool is_present = true;
    Time left_at{0};
  };
  struct Service {
    std::map<WorkerIncarnation, Worker> workers;
    Time changed_at{0};
  };

  void AddPresent(Time now, const WorkerReported& report);
  void MarkAbsent(Time now, const Ledger& ledger);

  Options options_;
  std::map<std::string, Service> services_;
};

}  // namespace marjoramplank
