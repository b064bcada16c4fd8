#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/jobs/lease_timing.h"
#include "src/jobs/ledger.h"
#include "src/supervisor/late_starts.h"
#include "src/supervisor/progress_meter.h"
#include "src/supervisor/unconfirmed_records.h"
#include "src/supervisor/worker_calls.h"
#include "src/supervisor/worker_claims.h"
#include "src/supervisor/worker_contact.h"

namespace marjoramplank {

// Reconciles one worker with the ledger: starts and stops tasks as the ledger
// orders, renews their leases while the agent may, and records their ends. A
// state machine without threads, sockets or clocks: its owner makes the calls
// that it returns and passes the replies back.
//
// A start without a reply is in doubt: the worker may carry it out seconds
// later. It is resolved by raising the fencing token and then listing the
// tasks: a start that is not listed under the new token can never take effect.
// A listing may be cut off before the last end, so a run that it does not show
// stays in doubt until every end from before that listing has been seen.
class Supervisor {
 public:
  struct Options {
    std::string agent;    // Name of this agent's machine.
    std::string process;  // Identifies this run of the agent's process.
    Time started_at{0};   // Of this process.
    LeaseTiming leases;
    // Least number of ends that the worker lists at once, if it has as many. A
    // shorter list has all of them.
    std::size_t ends_per_listing = 1;
    // A start may be tried for this long after it was ordered. One that is read
    // later, after a partition, is refused: the planner has given it up. The
    // members of a gang must come together within the platform's gang timeout;
    // half of it leaves the others their share.
    Duration start_window{1500};
    // A task without progress for this long counts as stalled. One percent of
    // the longest task on a worker eight times too slow takes less.
    Duration stall_timeout{4000};
    // Longest wait of a listing for the end of a task.
    Duration max_hold_wait{1000};
    // The same while a young run has no projected run time yet, and while the
    // worker has room for another run, which may start during the listing.
    // Gives two readings of tasks of 2 s within about 0.6 s of their start.
    Duration measuring_hold_wait{250};
    // The same while runs are being stopped.
    Duration stopping_hold_wait{60};
    Duration stop_retry_interval{300};     // For a stop without a reply.
    Duration report_retry_interval{1000};  // For an unconfirmed worker report.
  };

  explicit Supervisor(Options options);

  enum class HeartbeatVerdict {
    kTaken,         // From the incarnation that this agent works with.
    kClaimed,       // Names another one: the worker is asked first.
    kOutdated,      // Older than what is known.
    kContradicted,  // Denies what is known of this incarnation.
  };
  // Handles a heartbeat that names this agent's worker. It is evidence of the
  // worker only if it names the incarnation that has answered calls: see
  // WorkerClaims.
  HeartbeatVerdict OnHeartbeat(Time now, const WorkerHeartbeat& heartbeat);
  // The worker says that it ends: it has ended with the next call that finds no
  // process. Until then it may go on, as it may not have got the answer.
  void OnDeparture(const std::string& worker_id);

  // Takes over the commands in the ledger. `current` is true if the ledger was
  // read to its end; starts and stops are only returned while it is. Also
  // derives the fencing tokens of this process: a later process has higher
  // ones. `as_of`: it has all records that were stored before.
  void OnLedger(Time now,
                const Ledger& ledger,
                bool current,
                Time as_of = kNever);
  // An AgentHeartbeat of this process that was sent at `sent_at` is in the log,
  // and was at `stored_by`. After a time without permission to renew leases it
  // counts once the ledger was read as of then: the worker's tasks may have
  // been given to others.
  void OnAgentHeartbeatStored(Time sent_at, Time stored_by = Time{0});
  // A record that was taken from here was stored by then, or the log has
  // refused it.
  void OnRecordStored(const LedgerRecord& record, Time stored_by) {
    records_.OnStored(record, stored_by);
  }

  // Replies to calls.
  void OnStartReply(Time now, const StartCall& call, const CommandReply& reply);
  void OnStopReply(Time now, const StopCall& call, const CommandReply& reply);
  void OnHoldReply(Time now, const HoldCall& call, const HoldReply& reply);

  // Next actions; each is returned once, but for records that the ledger does
  // not show once they were stored. Records are to be appended in their order.
  std::vector<TaskCommand> TakeCommands(Time now);
  std::optional<HoldCall> NextHold(Time now);  // Empty: nothing to list now.
  std::vector<LedgerRecord> TakeRecords(Time now);

  // The number of this process, for its heartbeats. 0: not known, as the ledger
  // was not read to its end yet.
  std::int64_t process_number() const { return process_number_; }

  // The worker that this process has heard, and the age of its last sign of
  // life. Empty: nothing was heard in this process, or the worker has left.
  struct HeardWorker {
    WorkerIncarnation incarnation;
    Duration age{0};
  };
  std::optional<HeardWorker> heard_worker(Time now) const;
  // Age of the last heartbeat of this agent that counts.
  Duration SilenceOf(Time now) const { return now - stored_heartbeat_sent_at_; }
  bool IsAcceptingWork(Time now) const;
  // A call that waited to be sent is for the incarnation that still lives. An
  // id alone, which the worker checks, may have passed to the next one.
  bool IsPresent(const WorkerIncarnation& incarnation) const {
    return worker_ && !has_departed_ && worker_->incarnation == incarnation;
  }
  // Leases may be renewed while a recent heartbeat of this agent is in the log.
  bool CanRenewLeases(Time now) const {
    return SilenceOf(now) < options_.leases.max_heartbeat_age;
  }

 private:
  enum class Phase {
    kPending,   // No start is under way or in effect.
    kStarting,  // A start has been sent and has no reply yet.
    kInDoubt,   // The worker may have it or get it: a start had no reply.
    kOnWorker,  // The worker has it.
  };
  struct LocalRun {
    std::int32_t run = 1;
    Phase phase = Phase::kPending;
    std::int32_t starts_sent = 0;  // By this process.
    bool stop_requested = false;   // The ledger orders it to end.
    bool stop_in_flight = false;   // A stop has been sent without a reply yet.
    bool stop_accepted = false;    // The worker has accepted the stop.
    // Its end or refusal has been returned for the log, or is about to be.
    bool outcome_queued = false;
    // It was stated to have ended, as every lease had. Never started after it.
    bool is_given_up = false;
    // Number of the last listing that showed it at work. 0: none.
    std::int64_t last_listed_in = 0;
    // When a listing last showed it at work, or its start was confirmed.
    Time last_at_work_at{0};
    // Number of the first listing after an accepted stop. 0: none yet.
    std::int64_t listed_after_stop = 0;
    bool is_gang = false;
    Resources need;
    bool is_long_running = false;  // Runs until cancelled, so it cannot stall.
    std::string payload;
    std::string start_checkpoint;   // To start from.
    std::string newest_checkpoint;  // Seen on the worker.
    std::string recorded_checkpoint;
    std::int32_t progress_percent = 0;
    bool recorded_stalled = false;
    ProgressMeter meter;
    Duration recorded_projection{0};  // Last in the log. 0: none.
    // When it was ordered at the earliest: the last time before that the ledger
    // was current. At the first read of this process: the time of reading.
    Time ordered_at{0};
    Time seen_at{0};  // When this process first read of it.
    // A start that had no reply may still be carried out until then, also by
    // the next incarnation: its fencing token and its clock start anew. 0:
    // none.
    Time may_arrive_until{0};
    // Such a start was not carried out so far: that is stated, and recorded. It
    // is not started again before.
    bool unanswered_stated = false;
    bool unanswered_recorded = false;
    // When the worker started it, or may have. 0: it has not, or an earlier
    // process of the agent sent the start.
    Time begun_at{0};
    Time last_progress_at{0};
    Time last_stop_at{0};  // A stop was last sent, or accepted, then.
  };

  // A run that the worker has, or may have, although the ledger does not give
  // it to the worker any more: another worker may run the task.
  struct GivenAwayRun {
    bool stop_in_flight = false;  // A stop has been sent without a reply yet.
    bool stop_accepted = false;
    Time last_stop_at{0};
  };
  using RunKey = std::pair<TaskRef, std::int32_t>;

  void ResetWorkerState(Time now);
  // True if the claim names the next incarnation under the id of the recorded
  // worker, before that one was adopted: its runs have to be settled first.
  bool FollowsRecordedWorker(const WorkerIncarnation& claim) const;
  // After a restart: takes the worker that the ledger records until the worker
  // itself is heard, so that its tasks are listed at once.
  void AdoptRecordedWorker(Time now, const Ledger& ledger);
  // The worker has answered under this incarnation.
  void TakeIncarnation(Time now,
                       const WorkerHeartbeat& heartbeat,
                       const HoldReply& reply);
  void OnVerificationReply(Time now,
                           const HoldCall& call,
                           const HoldReply& reply);
  bool IsListingDue(Time now) const;
  // True while the worker lists an end of a run that the ledger had taken from
  // it before, and a lease may stand. The platform takes an acknowledged end
  // for final unless the lease has lapsed since, and the task has started
  // again. Meanwhile no end is acknowledged and nothing grants a lease.
  bool HoldsBackEnds(Time now) const;
  // True if the heartbeat denies what is known of the present incarnation, and
  // the one before did not deny it in the same way.
  bool IsContradiction(const WorkerHeartbeat& heartbeat);
  // True if the heartbeat is older than what is known. Two that rise in a row
  // are the worker's own, and what is known was odd.
  bool IsOutdated(const WorkerHeartbeat& heartbeat);
  enum class Ending { kAnnounced, kUnannounced };
  // The incarnation has ended, and its tasks with it. Starts that may still be
  // carried out were recorded as unanswered before.
  void EndIncarnation(Ending ending, const std::string& reason);
  // The incarnation has ended, and the next one under its id may get starts
  // that were meant for it, as they name the id alone: see LateStarts.
  //
  // No process listens at the worker's address.
  void OnProcessEnded(Time now, Ending ending, const std::string& reason);
  // Another incarnation answers under the id.
  void OnRestarted(Time now, const std::string& reason);
  // A start of the run may still be carried out, by any incarnation.
  bool MayStartArrive(Time now, const LocalRun& run) const;
  // No end is acknowledged: the number goes to whoever answers at the id, and
  // the next incarnation may have got a start. Not while that hides later ends:
  // a worker lists its ends a page at a time.
  bool WithholdsEnds(Time now) const;
  // The run is better started again here than refused: its task could not start
  // elsewhere before the start that had no answer is too old.
  bool MayRetryStart(Time now, const LocalRun& run) const;
  // Records that a start of the run may be carried out until then.
  void RecordUnanswered(const TaskRef& task, LocalRun& run, Time arrives_by);
  // The reply to a start that was under way as the incarnation ended.
  void OnReplyAfterEnd(const StartCall& call,
                       const CommandReply& reply,
                       const LocalRun& run);
  // While no worker is known at the address: calls the id of late starts.
  std::optional<HoldCall> NextLateStartHold(Time now);
  void OnLateStartHoldReply(Time now,
                            const HoldCall& call,
                            const HoldReply& reply);
  // Ends the incarnation if no process listens at its address any more.
  void CheckProcessEnded(Time now);
  bool HasUnrecordedEnd(const TaskRef& task, std::int32_t run) const;
  // True if the worker's present capacity has room for the run beside all that
  // it may be running, including what is being stopped.
  bool HasRoomFor(const LocalRun& run) const;
  // Runs that the worker had started, or may have, shortly before `crash`: the
  // last ones, as many as a record names.
  std::vector<RunRef> RunsStartedBefore(Time crash) const;
  void RecordRefusal(Time now,
                     const TaskRef& task,
                     LocalRun& run,
                     const std::string& reason);
  void CountReply(Time now, CommandReply::Kind kind);
  // A start that was sent at `sent_at` was not carried out, or has no reply.
  void TakeMissingReply(Time sent_at, CommandReply::Kind kind, LocalRun& run);
  void UpdateRun(Time now, const RunningTask& listed, LocalRun& run);
  // Longest time that the next listing waits at the worker.
  Duration HoldWait(Time now) const;
  // False if the reply took longer than the worker may have held the call: the
  // progress that it lists is of an unknown time.
  bool IsPrompt(Time now, const HoldCall& call) const;
  // Adds what the end of the run shows of its run time.
  void MeasureEnd(Time now,
                  const HoldCall& call,
                  const LocalRun& run,
                  TaskEnded& end) const;
  // Of a run whose agent has something to tell about it.
  RunObserved MakeObservation(const TaskRef& task,
                              LocalRun& run,
                              bool stalled) const;
  bool IsStalled(Time now, const LocalRun& run) const;
  std::vector<LedgerRecord> TakeDueRecords();
  // Observations of all runs whose projected run time is to be recorded.
  void TakeProjections(Time now);
  // Those of checkpoints and stalled runs.
  void TakeObservations(Time now);
  void ChooseProcessNumber(const LedgerAgent* self);
  void SetStoredHeartbeat(Time sent_at);
  void CountReadHeartbeats(Time as_of);
  // The ledger has taken the run from the worker.
  void OnRunTaken(const TaskRef& task, const LocalRun& run);
  void StopGivenAwayRuns(Time now,
                         std::map<RunKey, GivenAwayRun>& runs,
                         std::vector<TaskCommand>& out);
  // If the agent was not heard for so long that the planner may have given the
  // worker's tasks away: only a suspension has kept their leases. Needs no
  // ledger, as the way to it may take longer to recover than the agent.
  void StopUnheardRuns(Time now, std::vector<TaskCommand>& out);
  // States that the runs that the worker had, or may have had, have ended, if
  // it has not answered until every lease had run out. Orders that were not
  // sent to it, or may still be under way, are not among them: they may yet be
  // carried out.
  void GiveUpExpiredRuns(Time now);
  // Unless one is under way, was accepted or was sent lately.
  void StopRun(Time now,
               const TaskRef& task,
               LocalRun& run,
               std::vector<TaskCommand>& out);
  void UpdateRunningRuns(Time now,
                         const HoldCall& call,
                         const HoldReply& reply);
  void QueueListedEnds(Time now, const HoldCall& call, const HoldReply& reply);
  // True if the run was not at work at the listing, and no end from before the
  // listing is unseen.
  bool WasNotCarriedOut(const LocalRun& run, std::int64_t listing) const;
  void ResolveInDoubtRuns(Time now);
  void ResolveStoppedRuns(Time now);
  // The agent's process runs. After a pause the worker's clock is unknown: it
  // may have stood still too.
  void OnRunning(Time now);
  // Expiry of a lease that is renewed now, ms on the worker's clock.
  std::int64_t LeaseExpiryMs(Time now) const;
  void UpdateWorkerClock(Time now, std::optional<std::int64_t> clock_ms);
  WorkerReported MakeWorkerReport(Time now) const;
  AgentStatement NextStatement();

  Options options_;
  std::int64_t process_number_ = 0;
  // 0: the ledger has no heartbeat of this process yet.
  std::int64_t fence_ = 0;
  std::optional<WorkerHeartbeat> worker_;
  WorkerContact contact_;
  WorkerClaims claims_;
  // The last heartbeat if it was older than what is known.
  std::optional<WorkerHeartbeat> outdated_;
  // The last heartbeat if it denied what is known of the incarnation.
  std::optional<WorkerHeartbeat> contradiction_;
  // The last call asked about a claim. Listings take turns with such calls, so
  // that no number of claims delays the renewal of leases.
  bool was_claim_asked_ = false;
  // `worker_` is what the ledger records; no heartbeat was received yet.
  bool is_adopted_ = false;
  bool was_accepting_ = false;  // The adopted worker, by the ledger.
  Time adopted_at_{0};
  bool has_departed_ = false;
  bool is_departure_claimed_ = false;
  // A listing must resolve starts in doubt.
  bool needs_resolution_ = false;
  // Number of the first listing of this resolution. 0: the fencing token must
  // be raised for it.
  std::int64_t resolution_listing_ = 0;
  std::int64_t listing_count_ = 0;  // Listings that were answered.
  // Every end from before this listing has been seen.
  std::int64_t ends_seen_before_listing_ = 0;
  // The last listing showed a run neither at work, as one before had, nor
  // ended.
  bool has_hidden_ends_ = false;
  // At the last OnLedger().
  bool is_ledger_current_ = false;
  // At some time since this incarnation of the worker was first seen.
  bool was_ledger_current_ = false;
  // What the ledger records, as far as it was read. Empty id: none, or it has
  // ended.
  WorkerIncarnation recorded_worker_;
  // When the ledger last was current. 0: not in this process.
  Time ledger_current_at_{0};
  // The ledger has the worker's present report.
  bool is_report_recorded_ = false;
  Time report_sent_at_{0};
  std::map<TaskRef, LocalRun> runs_;
  // No lease is renewed, by a listing or a start, while there are any.
  std::map<RunKey, GivenAwayRun> given_away_runs_;
  LateStarts late_starts_;
  // Ends by number: listed by the worker, but not in the ledger yet.
  std::map<std::int64_t, TaskEnded> unrecorded_ends_;
  // Highest number of an end that was queued for the log, that is in the
  // ledger, and that was acknowledged to the worker.
  std::int64_t last_queued_end_ = 0;
  std::int64_t last_recorded_end_ = 0;
  std::int64_t last_acked_end_ = 0;
  // See HoldsBackEnds(): the highest end that may be such a one and is not in
  // the ledger yet, the highest in the ledger, the highest whose leases have
  // lapsed, and the lowest end of the last listing (0: none).
  std::int64_t last_suspected_end_ = 0;
  std::int64_t last_overtaken_end_ = 0;
  std::int64_t last_lapsed_end_ = 0;
  std::int64_t first_listed_end_ = 0;
  UnconfirmedRecords records_;
  std::int64_t last_statement_ = 0;
  std::int64_t worker_clock_ms_ = 0;  // At `worker_clock_at_`. 0: unknown.
  Time worker_clock_at_{0};
  // Send time of the newest heartbeat in the log that counts.
  Time stored_heartbeat_sent_at_;
  bool has_stored_heartbeat_ = false;  // Of this process.
  struct StoredHeartbeat {
    Time sent_at{0};
    Time stored_by{0};
  };
  // Count once the ledger was read as of `stored_by`. Oldest first.
  std::deque<StoredHeartbeat> unread_heartbeats_;
  Time last_hold_at_{0};
  Time last_listed_at_{0};  // The last listing that was answered.
  Time last_observation_at_{0};
  Time last_projection_at_{0};
};

}  // namespace marjoramplank
