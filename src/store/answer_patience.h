#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// How long the answer to an append is waited for before it is tried another
// way: a multiple of what answers took lately. A repeat costs one call; waiting
// too long costs the caller its objective.
class AdaptiveTimeout {
 public:
  struct Options {
    Duration min_timeout{
        350};  // Longer than answers of a log service 60 times too slow.
    Duration max_timeout{900};  // One that is 200 times slower than usual.
    int multiplier = 4;         // Of the slowest answer lately.
  };

  explicit AdaptiveTimeout(Options options);

  Duration current() const;           // For the next append.
  void OnResponse(Duration latency);  // It was stored.
  // The limit passed. Multiplies it at once: a log service that is slow for all
  // must not be given everything twice.
  void OnTimeout();

 private:
  Options options_;
  Duration recent_max_latency_{0};  // Lately: fades with each answer.
};

}  // namespace marjoramplank
