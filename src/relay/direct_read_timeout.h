#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// Timeout of a follower's reads of the log service itself. After one that timed
// out, the next ones wait for the longest queue of the log service: it may be
// busy rather than cut off, and a poll that gives up early never gets through.
// If another route delivers meanwhile, the timeout is the usual one again, so
// that a log service that is cut off costs little.
class DirectReadTimeout {
 public:
  // Timeout of the next read, for which the caller asks `usual`.
  Duration For(Duration usual) const;
  // A direct read with this timeout failed after `took`: a refusal, which takes
  // less than the timeout, changes nothing.
  void OnFailure(Duration timeout, Duration took);
  void OnSuccess() { has_timed_out_ = false; }  // By any route.

 private:
  bool has_timed_out_ = false;
};

}  // namespace marjoramplank
