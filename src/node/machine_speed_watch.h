#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "src/run_times/run_time_model.h"

namespace marjoramplank {

// Finds which machines have come to be believed slow, or not slow any more,
// for the planner's log and metrics.
class MachineSpeedWatch {
 public:
  // Machines from this slowness on count as slow: the bound of the first speed
  // class.
  static constexpr double kSlow = 1.3;
  // A slow machine counts as slow until it is below this, so that an estimate
  // that varies about the bound is logged once.
  static constexpr double kNoLongerSlow = 1.2;
  // Most changes that are returned at once. The others follow with the next
  // updates.
  static constexpr std::size_t kMaxChanges = 20;

  struct Change {
    std::string agent;
    bool is_slow = false;
    double slowness = 1;
    std::size_t samples = 0;
    Duration sample_age{0};  // Of the newest sample.
  };

  // Changes since the last call.
  std::vector<Change> Update(Time now, const RunTimeModel& model);

  // As of the last call.
  std::size_t slow_machines() const { return slow_machines_; }
  // Samples between the last two calls. 0 at the first call, which may follow
  // a snapshot.
  std::int64_t new_samples() const { return new_samples_; }

 private:
  std::set<std::string> reported_;  // Machines reported as slow.
  std::size_t slow_machines_ = 0;
  std::int64_t new_samples_ = 0;
  std::int64_t sample_count_ = -1;  // -1: no call yet.
};

}  // namespace marjoramplank
