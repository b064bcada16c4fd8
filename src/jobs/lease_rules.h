#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// How long a task may go on without word of its agent, in one place.
//
// An agent renews its worker's leases only while an AgentBeat that it sent
// within `renew_within` is on the log. Each renewal lasts `lease` on the
// worker's clock. So once a planner has read no beat of an agent for
// SilentForGood(), every task of that agent's worker has ended.
struct LeaseRules {
  Duration beat{800};           // Between two beats of an agent.
  Duration renew_within{2500};  // Age of the newest stored beat.
  Duration lease{8000};         // Of one renewal; the platform bounds it.
  Duration slack{500};  // Travel of a call to the worker and of its answer.

  // Longest that one renewal lasts in our time: a worker's clock may be 2%
  // slow.
  Duration LongestLease() const {
    constexpr std::int64_t kSlowPercent = 2;
    return lease + lease * kSlowPercent / (100 - kSlowPercent);
  }
  Duration SilentForGood() const {
    return renew_within + LongestLease() + slack;
  }
  // Without a beat for this long, a worker gets no new work: two beats and the
  // travel.
  Duration SilentForNow() const { return beat * 2 + slack; }
};

}  // namespace marjoramplank
