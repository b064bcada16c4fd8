#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// Lease and failure detection times that the planner and the agents share.
//
// An agent renews its worker's leases only while a recent one of its heartbeat
// records is on the log. Each renewal lasts for the lease duration on the
// worker's clock. So once a planner has read no heartbeat of an agent for the
// age limit of a heartbeat, the longest lease and a margin together, all leases
// of that agent's worker have expired and its tasks have ended.
struct LeaseRules {
  // Between two heartbeats of an agent.
  Duration beat{800};
  // Greatest age of the newest stored heartbeat at which leases are renewed.
  Duration renew_within{2500};
  // Of one renewal; the platform limits it.
  Duration lease{8000};
  // Allowance for the round trip of a call to the worker.
  Duration slack{500};

  // Longest that one renewal can last on this machine's clock: a worker's clock
  // may be 2% slow.
  Duration LongestLease() const {
    constexpr std::int64_t kClockDriftPercent = 2;
    return lease + lease * kClockDriftPercent / (100 - kClockDriftPercent);
  }
  // Without a heartbeat for this long, the worker is lost: every lease has
  // expired.
  Duration SilentForGood() const {
    return renew_within + LongestLease() + slack;
  }
  // Without a heartbeat for this long, the worker is suspected to have failed
  // and gets no new tasks: two intervals and the round trip.
  Duration SilentForNow() const { return beat * 2 + slack; }
};

}  // namespace marjoramplank
