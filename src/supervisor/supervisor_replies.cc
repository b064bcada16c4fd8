// Handles the worker's replies to starts, stops and listings.

#include <algorithm>
#include <utility>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

namespace {

// A run that is still listed this long after an accepted stop is stopped again.
constexpr Duration kAcceptedStopRetryInterval = 1500ms;
// A listing that the worker holds back is answered this much later at most.
constexpr Duration kMaxReplyDelay = 100ms;
// A listing that took at least this long was held back, as nothing had ended
// before it came, and was answered when the task ended.
constexpr Duration kMinHeldTime = 30ms;

bool MayHaveBegun(CommandReply::Kind kind) {
  return kind == CommandReply::Kind::kDone ||
         kind == CommandReply::Kind::kNoAnswer;
}

}  // namespace

void Supervisor::CheckProcessEnded(Time now) {
  if (has_departed_) {
    return;
  }
  if (is_departure_claimed_) {
    OnProcessEnded(now, Ending::kAnnounced, "the worker has left");
  } else if (contact_.HasEnded(now)) {
    OnProcessEnded(now, Ending::kUnannounced,
                   "no process listens at its address");
  }
}

void Supervisor::CountReply(Time now, CommandReply::Kind kind) {
  switch (kind) {
    case CommandReply::Kind::kNotSent:
      contact_.OnNotSent(now);
      break;
    case CommandReply::Kind::kConnectionRefused:
      contact_.OnConnectionRefused(now);
      CheckProcessEnded(now);
      break;
    case CommandReply::Kind::kNoAnswer:
      contact_.OnNoAnswer(now);
      break;
    default:
      contact_.OnAnswer(now);
      break;
  }
}

void Supervisor::TakeMissingReply(Time sent_at,
                                  CommandReply::Kind kind,
                                  LocalRun& run) {
  const bool is_starting = run.phase == Phase::kStarting;
  switch (kind) {
    case CommandReply::Kind::kWrongIncarnation:
    case CommandReply::Kind::kNotSent:
    case CommandReply::Kind::kConnectionRefused:
      run.phase = is_starting ? Phase::kPending : run.phase;
      break;
    case CommandReply::Kind::kNoAnswer:
      run.phase = is_starting ? Phase::kInDoubt : run.phase;
      run.may_arrive_until = sent_at + options_.leases.CallsArriveWithin();
      break;
    default:
      break;
  }
}

void Supervisor::OnStartReply(Time now,
                              const StartCall& call,
                              const CommandReply& reply) {
  OnRunning(now);
  if (!worker_ || worker_->incarnation != call.incarnation) {
    return;
  }
  UpdateWorkerClock(now, reply.clock_ms);
  const auto it = runs_.find(call.task);
  Time sent_at{0};
  if (it != runs_.end() && it->second.run == call.run) {
    sent_at = it->second.begun_at;
    // Before the reply may end the incarnation: only what the worker may have
    // started can have crashed it.
    it->second.begun_at = MayHaveBegun(reply.kind) ? now : Time{0};
    TakeMissingReply(sent_at, reply.kind, it->second);
    OnReplyAfterEnd(call, reply, it->second);
  }
  CountReply(now, reply.kind);
  if (reply.kind == CommandReply::Kind::kNoAnswer) {
    needs_resolution_ = true;
  }
  if (reply.kind == CommandReply::Kind::kWrongIncarnation) {
    if (!has_departed_) {
      EndIncarnation(Ending::kUnannounced, "another incarnation answers");
    }
    return;
  }
  if (it == runs_.end() || it->second.run != call.run ||
      it->second.phase != Phase::kStarting) {
    return;
  }
  LocalRun& run = it->second;
  switch (reply.kind) {
    case CommandReply::Kind::kDone:
      run.phase = Phase::kOnWorker;
      run.last_progress_at = now;
      run.last_at_work_at = now;
      run.meter.OnStarted(sent_at, now);
      break;
    case CommandReply::Kind::kStale:
      run.phase = Phase::kPending;
      break;
    case CommandReply::Kind::kAlreadyRan:
      // The run may have ended successfully; only the listed ends show that.
      run.phase = Phase::kInDoubt;
      needs_resolution_ = true;
      break;
    case CommandReply::Kind::kRefused:
    case CommandReply::Kind::kUnhealthy:
      // The run is not on the worker: after an earlier start without a reply
      // its phase would be kInDoubt.
      RecordRefusal(now, call.task, run, reply.reason);
      break;
    case CommandReply::Kind::kWrongIncarnation:
    case CommandReply::Kind::kNotSent:
    case CommandReply::Kind::kConnectionRefused:
    case CommandReply::Kind::kNoAnswer:
      break;  // See TakeMissingReply().
  }
}

void Supervisor::OnStopReply(Time now,
                             const StopCall& call,
                             const CommandReply& reply) {
  OnRunning(now);
  if (!worker_ || worker_->incarnation != call.incarnation) {
    return;
  }
  UpdateWorkerClock(now, reply.clock_ms);
  CountReply(now, reply.kind);
  if (reply.kind == CommandReply::Kind::kWrongIncarnation) {
    if (!has_departed_) {
      EndIncarnation(Ending::kUnannounced, "another incarnation answers");
    }
    return;
  }
  const auto record = [&](auto& run) {
    run.stop_in_flight = false;
    if (reply.kind == CommandReply::Kind::kDone) {
      run.stop_accepted = true;
      run.last_stop_at = now;
    }
  };
  const RunKey key(call.task, call.run);
  const auto it = runs_.find(call.task);
  if (it != runs_.end() && it->second.run == call.run) {
    record(it->second);
  } else if (const auto given_away = given_away_runs_.find(key);
             given_away != given_away_runs_.end()) {
    record(given_away->second);
  }
}

void Supervisor::UpdateRun(Time now, const RunningTask& listed, LocalRun& run) {
  if (run.phase == Phase::kInDoubt) {
    run.phase = Phase::kOnWorker;
    run.last_progress_at = now;
  }
  if (!run.unanswered_stated) {
    run.may_arrive_until = Time{0};  // The only start of it has arrived.
  }
  if (listed.percent != run.progress_percent) {
    run.progress_percent = listed.percent;
    run.last_progress_at = now;
  }
  if (!listed.checkpoint.empty()) {
    run.newest_checkpoint = listed.checkpoint;
  }
}

bool Supervisor::IsPrompt(Time now, const HoldCall& call) const {
  return now - last_hold_at_ < call.wait + kMaxReplyDelay;
}

void Supervisor::UpdateRunningRuns(Time now,
                                   const HoldCall& call,
                                   const HoldReply& reply) {
  const auto expire_stop = [now](auto& run) {
    run.stop_accepted = run.stop_accepted &&
                        now - run.last_stop_at < kAcceptedStopRetryInterval;
  };
  const bool is_prompt = IsPrompt(now, call);
  std::map<RunKey, GivenAwayRun> given_away;
  for (const RunningTask& t : reply.running) {
    const auto it = runs_.find(t.task);
    if (it != runs_.end() && it->second.run == t.run) {
      UpdateRun(now, t, it->second);
      if (is_prompt) {
        it->second.meter.OnReading(now, t.percent);
      }
      it->second.last_listed_in = listing_count_;
      it->second.last_at_work_at = now;
      expire_stop(it->second);
      continue;
    }
    const RunKey key(t.task, t.run);
    const auto known = given_away_runs_.find(key);
    GivenAwayRun& run = given_away[key];
    run = known == given_away_runs_.end() ? GivenAwayRun() : known->second;
    expire_stop(run);
  }
  given_away_runs_ = std::move(given_away);
}

void Supervisor::MeasureEnd(Time now,
                            const HoldCall& call,
                            const LocalRun& run,
                            TaskEnded& end) const {
  if (end.outcome != TaskOutcome::kDone || run.is_long_running ||
      !IsPrompt(now, call) || run.last_at_work_at == Time{0}) {
    return;
  }
  // An end that a listing was too short for is listed late, so it counts as
  // new only if the run was at work at the listing before.
  const bool was_at_work = run.last_at_work_at >= last_listed_at_;
  const bool was_held =
      call.wait > kMinHeldTime && now - last_hold_at_ >= kMinHeldTime;
  const Time ended_after =
      was_at_work && was_held ? now - kMinHeldTime : run.last_at_work_at;
  end.run_time = run.meter.RunTime(ended_after, now).value_or(Duration(0));
}

void Supervisor::QueueListedEnds(Time now,
                                 const HoldCall& call,
                                 const HoldReply& reply) {
  // A row that cannot be read may be an end.
  bool lists_unacked_end = reply.unreadable_rows > 0;
  first_listed_end_ = reply.ended.empty() ? 0 : reply.ended.front().end_number;
  for (const TaskEnded& e : reply.ended) {
    lists_unacked_end = lists_unacked_end || e.end_number > call.acked_end;
    const auto it = runs_.find(e.task);
    const bool is_known = it != runs_.end() && it->second.run == e.run;
    // A lower number with a run that the ledger still gives to the worker: the
    // ledger has got a later end, but not this one.
    if (e.end_number <= last_queued_end_ &&
        (!is_known || it->second.outcome_queued)) {
      continue;
    }
    TaskEnded end = e;
    end.incarnation = worker_->incarnation;
    if (is_known) {
      MeasureEnd(now, call, it->second, end);
    }
    unrecorded_ends_[end.end_number] = end;
    last_queued_end_ = std::max(last_queued_end_, end.end_number);
    records_.Add(end);
    if (is_known) {
      it->second.outcome_queued = true;
      // Ends are listed in order, lowest number first, so every end from before
      // a listing that showed this run at work has been seen.
      ends_seen_before_listing_ =
          std::max(ends_seen_before_listing_, it->second.last_listed_in);
    } else {
      last_suspected_end_ = end.end_number;
    }
  }
  const bool is_short = reply.unreadable_rows == 0 &&
                        reply.ended.size() < options_.ends_per_listing;
  if (!lists_unacked_end || is_short) {
    ends_seen_before_listing_ = listing_count_;
  }
  has_hidden_ends_ =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
        const LocalRun& run = entry.second;
        return run.phase == Phase::kOnWorker && !run.outcome_queued &&
               run.last_listed_in > 0 && run.last_listed_in < listing_count_;
      });
}

bool Supervisor::WasNotCarriedOut(const LocalRun& run,
                                  std::int64_t listing) const {
  return listing != 0 && !run.outcome_queued && run.last_listed_in < listing &&
         ends_seen_before_listing_ >= listing;
}

void Supervisor::ResolveInDoubtRuns(Time now) {
  if (ends_seen_before_listing_ < resolution_listing_) {
    return;
  }
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kInDoubt) {
      continue;
    }
    if (!WasNotCarriedOut(run, resolution_listing_)) {
      run.phase = Phase::kOnWorker;  // Its end has been listed, or will be.
    } else if (!run.stop_requested &&
               (MayRetryStart(now, run) ||
                (MayStartArrive(now, run) &&
                 now - run.ordered_at < options_.start_window))) {
      run.phase = Phase::kPending;
      if (run.may_arrive_until > now) {
        RecordUnanswered(task, run, run.may_arrive_until);
      }
    } else {
      RecordRefusal(now, task, run, "the start was not carried out");
    }
  }
  needs_resolution_ = false;
  resolution_listing_ = 0;
}

// An accepted stop rejects the start if it still reaches the worker.
void Supervisor::ResolveStoppedRuns(Time now) {
  for (auto& [task, run] : runs_) {
    if (!run.stop_accepted || run.last_stop_at >= last_hold_at_) {
      run.listed_after_stop = 0;
      continue;
    }
    if (run.listed_after_stop == 0 || run.last_listed_in == listing_count_) {
      run.listed_after_stop = listing_count_;
    }
    if (WasNotCarriedOut(run, run.listed_after_stop)) {
      RecordRefusal(now, task, run, "stopped before it came");
    }
  }
}

void Supervisor::OnVerificationReply(Time now,
                                     const HoldCall& call,
                                     const HoldReply& reply) {
  const bool names_other =
      reply.started_at_unix_ms &&
      *reply.started_at_unix_ms != call.incarnation.started_at_unix_ms;
  if (reply.kind == HoldReply::Kind::kWrongIncarnation || names_other) {
    claims_.Remove(call.incarnation);
    return;
  }
  const bool was_answered = reply.kind == HoldReply::Kind::kOk ||
                            reply.kind == HoldReply::Kind::kStale;
  // Without a start time in the reply, only an id that is new tells the
  // incarnations apart.
  const bool is_named = reply.started_at_unix_ms || !worker_ ||
                        worker_->incarnation.id != call.incarnation.id;
  if (!was_answered || !is_named) {
    return;  // Asked again while heartbeats come.
  }
  if (worker_ && !has_departed_ &&
      worker_->incarnation.id == call.incarnation.id) {
    OnRestarted(now, "a new incarnation answers");
  }
  if (const auto heartbeat = claims_.Remove(call.incarnation)) {
    TakeIncarnation(now, *heartbeat, reply);
  }
}

void Supervisor::OnHoldReply(Time now,
                             const HoldCall& call,
                             const HoldReply& reply) {
  OnRunning(now);
  if (call.verifies_incarnation) {
    OnVerificationReply(now, call, reply);
    return;
  }
  if (call.settles_late_starts) {
    OnLateStartHoldReply(now, call, reply);
    return;
  }
  if (!worker_ || worker_->incarnation != call.incarnation) {
    return;
  }
  const bool has_restarted =
      reply.started_at_unix_ms &&
      *reply.started_at_unix_ms != worker_->incarnation.started_at_unix_ms;
  if (reply.kind == HoldReply::Kind::kWrongIncarnation || has_restarted) {
    if (has_departed_) {
      return;
    }
    if (reply.kind == HoldReply::Kind::kWrongIncarnation) {
      EndIncarnation(Ending::kUnannounced, "another incarnation answers");
    } else {
      OnRestarted(now, "another incarnation answers");
    }
    return;
  }
  if (reply.clock_ms) {
    // Replaces the estimate, which is ahead if the worker's clock stood still.
    // A reply that is late by up to the call's timeout shortens no lease.
    worker_clock_ms_ = *reply.clock_ms;
    worker_clock_at_ = now;
  }
  if (reply.kind == HoldReply::Kind::kNotSent ||
      reply.kind == HoldReply::Kind::kConnectionRefused) {
    contact_.OnLeaseNotSent();
  } else {
    contact_.OnLeaseMaybeGranted();
  }
  if (reply.kind != HoldReply::Kind::kOk) {
    last_acked_end_ = std::min(last_acked_end_, call.acked_end - 1);
    if (reply.kind == HoldReply::Kind::kConnectionRefused) {
      contact_.OnConnectionRefused(now);
      CheckProcessEnded(now);
    } else if (reply.kind == HoldReply::Kind::kNotSent) {
      contact_.OnNotSent(now);
    } else if (reply.kind == HoldReply::Kind::kStale) {
      contact_.OnAnswer(now);
      needs_resolution_ = true;
      resolution_listing_ = 0;
    } else {
      // A refused listing has renewed nothing, so it counts as no answer.
      contact_.OnNoAnswer(now);
    }
    return;
  }
  contact_.OnAnswer(now);
  // One that leaves answers until it ends.
  is_departure_claimed_ = is_departure_claimed_ && worker_->leaving;
  ++listing_count_;
  UpdateRunningRuns(now, call, reply);
  if (reply.unreadable_rows == 0) {
    late_starts_.OnListing(call.incarnation.id, last_hold_at_, now,
                           reply.running);
  }
  QueueListedEnds(now, call, reply);
  last_listed_at_ = now;
  if (reply.unreadable_rows > 0) {
    return;
  }
  if (call.resolves_in_doubt && call.fence == fence_) {
    resolution_listing_ =
        resolution_listing_ == 0 ? listing_count_ : resolution_listing_;
    ResolveInDoubtRuns(now);
  }
  ResolveStoppedRuns(now);
}

}  // namespace marjoramplank
