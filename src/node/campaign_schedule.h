#pragma once

#include <cstdint>
#include <string>

#include "marjoramplank/time.h"

namespace marjoramplank {

// When an entry may campaign for the planner's role. Randomized election
// timeouts: with dozens of entries, all of them would campaign in the same
// moment, and their appends would delay each other's and the new planner's on a
// log service that is slow. Each entry waits for another time, taken from its
// name and the epoch; after a campaign without success it backs off.
class CampaignSchedule {
 public:
  struct Options {
    // The delays of n entries are spread over n times this, up to the maximum.
    Duration spread_per_entry{15};
    Duration max_spread{800};
    Duration min_backoff{300};  // Doubles with each campaign without success.
    Duration max_backoff{1500};
  };

  CampaignSchedule(std::string name, Options options);

  // Delay of this entry's campaign for the epoch, in addition to the time after
  // which any entry may campaign.
  Duration DelayOf(std::int64_t epoch, std::size_t entries) const;
  bool MayTry(Time now) const { return now >= next_try_at_; }
  void OnFailure(Time now);
  void OnSuccess();  // Some entry is the planner.

 private:
  const std::string name_;
  const Options options_;
  Duration backoff_{0};
  Time next_try_at_{0};
};

}  // namespace marjoramplank
