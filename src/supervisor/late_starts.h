#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/lease_timing.h"
#include "src/jobs/ledger.h"
#include "src/supervisor/worker_calls.h"

namespace marjoramplank {

// The starts without an answer that may still be carried out, of runs that have
// ended or were refused: see LateStart. Knows when each is over, and what has
// to be called until then.
//
// A start can arrive until 12.5 s after it was sent. If it does, the run is at
// work in the incarnation that has got it, for a lease at most unless it is
// stopped. So it is over once no start can arrive and one of these shows that
// the run is not at work: a later listing, refused connections, another id that
// answers; or, if nothing answers, the time that it may be at work.
class LateStarts {
 public:
  struct Options {
    std::string process;  // Of this agent.
    Time started_at{0};   // This process.
    LeaseTiming leases;
  };

  explicit LateStarts(Options options) : options_(std::move(options)) {}

  // When no start of the run can arrive any more that was sent by `process`.
  // `self`: the agent, as recorded. The process before this one has ended
  // before this one started, and each has told how long it had run.
  Time ArrivesBy(const LedgerAgent& self,
                 const std::string& process,
                 Duration sender_ended_at) const;

  // Starts of the run that this process has sent arrive by then.
  void SetArrival(const RunRef& run, Time arrives_by);
  // The same; the next incarnation may have got one already.
  void SetMaybeAtWork(Time now, const RunRef& run, Time arrives_by);
  // Takes over what the ledger records of the agent, read to its end.
  void OnLedger(const LedgerAgent& self, const LedgerWorker* worker);

  // A listing that was sent then by a call to the id, and shows these runs.
  void OnListing(const std::string& worker_id,
                 Time sent_at,
                 Time now,
                 const std::vector<RunningTask>& running);
  // No process listens at the worker's address.
  void OnConnectionRefused(Time now);
  // The worker of this id has come to the address: calls to others are
  // rejected.
  void OnWorkerId(const std::string& worker_id);
  // A call to this id was rejected by another one.
  void OnIdRejected(const std::string& worker_id);

  // The worker whose id has to be called. Empty: none.
  std::optional<WorkerIncarnation> WorkerToCall() const;
  // Stops the runs that the last listing has shown at work, each at most once
  // in `interval`.
  std::vector<StopCall> TakeStops(Time now,
                                  Duration interval,
                                  std::int64_t fence);
  // True if a start may still be carried out by an incarnation that this agent
  // has not heard of.
  bool MayArrive(Time now) const;
  // The runs whose late starts are over; each is returned once.
  std::vector<RunRef> TakeExpired(Time now);

 private:
  struct Entry {
    WorkerIncarnation incarnation;
    Time arrives_by{0};
    bool is_at_work = false;   // By the last listing.
    bool is_verified = false;  // Not at work, and none can arrive.
    bool is_returned = false;  // By TakeExpired().
    Time ended_by{0};          // If nothing answers.
    Time last_stop_at{0};
  };

  struct Arrival {
    Time arrives_by{0};
    Time ended_by{0};
  };

  // When a lease that is granted now has run out.
  Time LeaseEnd(Time now) const;
  // Of the run, if it is known.
  void TakeArrival(const RunRef& run);

  Options options_;
  std::map<RunRef, Entry> starts_;
  // Of runs that the ledger may not show as ended yet.
  std::map<RunRef, Arrival> arrivals_;
  int refused_in_row_ = 0;
};

}  // namespace marjoramplank
