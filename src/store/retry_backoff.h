#pragma once

#include <random>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Delay between two attempts of a call that the log service refused or did not
// answer: exponential backoff with full jitter. Hundreds of processes that
// restart at the same moment would otherwise ask again in step, and a service
// that is overloaded by them would stay so.
class RetryBackoff {
 public:
  struct Options {
    Duration min_delay{60};  // Doubles with each failure in a row.
    Duration max_delay{500};
  };

  // `seed` must differ between processes.
  RetryBackoff(Options options, std::uint_fast32_t seed);
  explicit RetryBackoff(Options options)
      : RetryBackoff(options, std::random_device{}()) {}

  // Call after a failure. Returns the time to wait before the next attempt,
  // at least half of the shortest delay.
  Duration OnFailure();
  void OnSuccess() { bound_ = Duration(0); }

 private:
  Options options_;
  Duration bound_{0};  // Of the last delay. 0: the last call succeeded.
  std::minstd_rand random_;
};

// Timeout of one page of a read that returns many records. The log service
// states a longest queue of 2 s for appends only; reads were seen to wait up to
// 4 s. With a timeout below the queue, a service that is busy sends answers
// that nobody reads.
inline constexpr Duration kBulkReadTimeout{4500};

}  // namespace marjoramplank
