#pragma once

#include <algorithm>
#include <cstdint>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Lease and failure detection times that the planner and the agents share.
//
// An agent renews its worker's leases only while a recent one of its heartbeat
// records is on the log. Each renewal lasts for the lease duration on the
// worker's clock. So once a planner has read no heartbeat of an agent for the
// age limit of a heartbeat, the longest lease and a margin together, all leases
// of that agent's worker have expired and its tasks have ended. Only time in
// which the planner could have read one counts: Ledger::SilenceOf().
//
// While a machine is suspended, its worker's leases stand still. Nobody else
// can tell that from its death, so the planner waits for as long again as a
// suspension may take. After a longer one the agent stops the tasks.
struct LeaseTiming {
  // Between two heartbeats of an agent.
  Duration heartbeat_interval{800};
  // Greatest age of the newest stored heartbeat at which leases are renewed.
  Duration max_heartbeat_age{2500};
  // Of one renewal; the platform limits it. See ForMaxLease().
  Duration lease_duration{8000};
  // Allowance for the round trip of a call to the worker.
  Duration call_margin{500};
  // A call that had no reply may be carried out this much later, even by the
  // next incarnation under the worker's id.
  Duration max_call_delay{12'000};
  // Time for which a machine may be suspended while a lease of its worker runs.
  Duration suspension_allowance{4500};

  // For a platform that permits leases of at most `max_lease`. Tasks go on for
  // a lease without their agent, but those of a machine that is gone wait for
  // one before they start again: leases are no longer than kMaxLeaseDuration.
  static LeaseTiming ForMaxLease(Duration max_lease) {
    constexpr Duration kMaxLeaseDuration{6000};
    LeaseTiming out;
    // Slightly below the platform's maximum, so that no lease is shortened.
    out.lease_duration =
        std::min(max_lease - out.call_margin, kMaxLeaseDuration);
    return out;
  }

  // Longest that one renewal can last on this machine's clock: a worker's clock
  // may be 2% slow.
  Duration MaxLeaseDuration() const {
    constexpr std::int64_t kClockDriftPercent = 2;
    return lease_duration +
           lease_duration * kClockDriftPercent / (100 - kClockDriftPercent);
  }
  // No call that was sent this long ago can still be carried out.
  Duration CallsArriveWithin() const { return max_call_delay + call_margin; }
  // Without a heartbeat for this long, the worker is lost: every lease has
  // expired, although its machine was suspended meanwhile.
  Duration LostAfter() const {
    return max_heartbeat_age + MaxLeaseDuration() + call_margin +
           suspension_allowance;
  }
  // Without a heartbeat for this long, the worker is suspected to have failed
  // and gets no new tasks: two intervals and the round trip.
  Duration SuspectAfter() const { return heartbeat_interval * 2 + call_margin; }
};

}  // namespace marjoramplank
