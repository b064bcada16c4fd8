#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// What an agent knows about the liveness of its worker, and how long the
// worker's leases may last. Kept apart from the liveness of the agent itself:
// an agent can live on beside a worker that has died.
//
// A silent worker is not a dead one. It gets no new work while it is
// unreachable, but its running tasks count as ended only after every lease has
// expired.
class WorkerContact {
 public:
  // A worker that has not answered for this long is unreachable.
  static constexpr Duration kUnreachableAfter{1500};
  // So is one to which this many calls in a row could not be sent.
  static constexpr int kUnsentCalls = 2;
  // A worker that has answered before and now refuses this many connections in
  // a row, over this time, has ended: its process would listen. A silent one
  // does not refuse.
  static constexpr int kRefusedConnections = 3;
  static constexpr Duration kRefusedFor{200};
  // Leases of a worker that does not answer are renewed for this long. Later
  // calls carry no lease, so that the last one expires.
  static constexpr Duration kRenewWhileSilent{1500};

  // Longest time between two calls of OnRunning() that is no pause.
  static constexpr Duration kMaxPause{500};

  // Listing intervals of a worker that answers, and the longest of one that
  // does not.
  static constexpr Duration kMinListingInterval{15};
  static constexpr Duration kMaxListingInterval{2000};

  // Another incarnation of the worker. `leases_end_by`: an earlier process of
  // the agent may have granted leases up to then.
  // `has_answered`: an earlier process of the agent has called it.
  void Reset(Time leases_end_by, bool has_answered);
  // The worker has sent a heartbeat.
  void OnHeartbeat(Time now);
  void OnAnswer(Time now);
  // The worker may have received the call, but has not answered.
  void OnNoAnswer(Time now);
  // The call has not reached the worker.
  void OnNotSent(Time now);
  // The same, as no process listens at the worker's address.
  void OnConnectionRefused(Time now);

  // A start carries a lease that lasts until `lease_end` at the latest.
  void OnStartSent(Time lease_end);
  // A listing carries such a lease. At most one listing is under way.
  void OnLeaseSent(Time lease_end);
  // The call was not delivered, so it granted nothing.
  void OnLeaseNotSent() { lease_in_flight_ = Time{0}; }
  // The call was delivered, or may have been.
  void OnLeaseMaybeGranted();

  // The agent's process runs. Call at least each `kMaxPause`: a longer time
  // between two calls was a pause, in which the worker's clock, and so its
  // leases, may have stood still too. Returns whether there was one.
  bool OnRunning(Time now);

  // When the worker last sent anything. 0: nothing yet in this process.
  Time heard_at() const { return heard_at_; }
  bool IsReachable(Time now) const;
  // Time of the first of the calls in a row without an answer. 0: none.
  Time failing_since() const { return failing_since_; }
  bool IsFailing() const { return failing_since_ != Time{0}; }
  bool MayRenewLeases(Time now) const;
  // Time to wait between two listings: doubles while the worker does not
  // answer, until it is heard again.
  Duration ListingInterval() const;
  // The worker's process has ended, and its tasks with it.
  bool HasEnded(Time now) const;
  // No lease can last until now.
  bool HaveLeasesEnded(Time now) const;
  // The same, and the worker does not answer.
  bool HaveLeasesExpired(Time now) const;

 private:
  Time heard_at_{0};
  // Time of the first of the calls in a row without an answer. 0: the last call
  // had one.
  Time failing_since_{0};
  bool has_answered_ = false;
  int unsent_in_row_ = 0;
  int refused_in_row_ = 0;
  Time refused_since_{0};
  int failures_in_row_ = 0;  // Since the last sign of life.
  Time last_lease_end_{0};   // No lease that was granted lasts longer.
  Time running_at_{0};       // Last call of OnRunning(). 0: none yet.
  Time lease_in_flight_{0};  // End of the lease of the call under way. 0: none.
};

}  // namespace marjoramplank
