#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// Timeout of an append, after which it is retried over another route: a
// multiple of the recent response times. A needless retry costs one call;
// waiting too long costs the caller its latency objective.
class AdaptiveTimeout {
 public:
  struct Options {
    // Not reached by a log service that is 60 times slower than usual.
    Duration min_timeout{350};
    // Response time of a log service that is 200 times slower than usual.
    Duration max_timeout{900};
    int multiplier = 4;  // Applied to the largest recent response time.
  };

  explicit AdaptiveTimeout(Options options);

  Duration current() const;  // Timeout of the next append.
  // The largest recent response time, after a timeout at least the time that
  // was waited.
  Duration recent_latency() const { return recent_max_latency_; }
  void OnResponse(Duration latency);  // The append was stored.
  // The append timed out. Multiplies the timeout at once, because a log service
  // that is slow for all callers must not receive every append twice.
  void OnTimeout();

 private:
  Options options_;
  Duration recent_max_latency_{0};  // Decays with each response.
};

}  // namespace marjoramplank
