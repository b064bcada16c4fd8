#pragma once

#include <cstdint>
#include <string>

#include "marjoramplank/time.h"

namespace marjoramplank {

// When an entry may campaign for the planner's role. Randomized election
// timeouts: with dozens of entries, all of them would campaign in the same
// moment, and their appends would delay each other's and the new planner's on a
// log service that is slow. Each entry waits for another time, taken from its
// name and the epoch; after a campaign without success it backs off, with
// jitter.
class CampaignSchedule {
 public:
  struct Options {
    // The delays of n entries are spread over n times this, up to the maximum.
    Duration spread_per_entry{15};
    Duration max_spread{800};
    Duration min_backoff{300};  // Doubles with each campaign without success.
    Duration max_backoff{1500};
    // Least wait after a campaign that was refused because the queue of the log
    // service is full (2 s of appends): half of the queue has been served then.
    // The longest wait is twice this.
    Duration busy_backoff{1000};
    // An append waits in the log service for at most this. An election that may
    // wait there is not repeated before: the entry learns from the ledger that
    // it was stored.
    Duration queue_time{2000};
  };
  enum class Failure {
    kNoAnswer,
    kBusy,    // Refused: too many appends wait in the log service.
    kQueued,  // No answer, but the log is readable: it may still be stored.
  };

  CampaignSchedule(std::string name, Options options);

  // Delay of this entry's campaign for the epoch, in addition to the time after
  // which any entry may campaign.
  Duration DelayOf(std::int64_t epoch, std::size_t entries) const;
  bool MayTry(Time now) const { return now >= next_try_at_; }
  void OnFailure(Time now, Failure failure = Failure::kNoAnswer);
  void OnSuccess();  // Some entry is the planner.

 private:
  // Up to `longest`, another time for each entry and failure.
  Duration Jitter(Duration longest);

  const std::string name_;
  const Options options_;
  std::uint64_t failure_count_ = 0;
  Duration backoff_{0};
  Time next_try_at_{0};
};

}  // namespace marjoramplank
