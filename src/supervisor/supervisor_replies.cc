// Handles the worker's replies to starts, stops and listings.

#include <set>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

namespace {

// A run that is still listed this long after an accepted stop is stopped again.
constexpr Duration kAcceptedStopRetryInterval = 1500ms;

bool MayHaveBegun(CommandReply::Kind kind) {
  return kind == CommandReply::Kind::kDone ||
         kind == CommandReply::Kind::kNoAnswer;
}

}  // namespace

void Supervisor::CheckProcessEnded(Time now) {
  if (!has_departed_ && contact_.HasEnded(now)) {
    EndIncarnation(Ending::kUnannounced, "no process listens at its address");
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

void Supervisor::OnStartReply(Time now,
                              const StartCall& call,
                              const CommandReply& reply) {
  if (!worker_ || worker_->incarnation != call.incarnation) {
    return;
  }
  UpdateWorkerClock(now, reply.clock_ms);
  const auto it = runs_.find(call.task);
  if (it != runs_.end() && it->second.run == call.run) {
    // Before the reply may end the incarnation: only what the worker may have
    // started can have crashed it.
    it->second.begun_at = MayHaveBegun(reply.kind) ? now : Time{0};
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
      RecordRefusal(call.task, run, reply.reason);
      break;
    case CommandReply::Kind::kWrongIncarnation:
    case CommandReply::Kind::kNotSent:
    case CommandReply::Kind::kConnectionRefused:
      run.phase = Phase::kPending;
      break;
    case CommandReply::Kind::kNoAnswer:
      run.phase = Phase::kInDoubt;
      break;
  }
}

void Supervisor::OnStopReply(Time now,
                             const StopCall& call,
                             const CommandReply& reply) {
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
  const auto it = runs_.find(call.task);
  if (it == runs_.end() || it->second.run != call.run) {
    return;
  }
  it->second.stop_in_flight = false;
  if (reply.kind == CommandReply::Kind::kDone) {
    it->second.stop_accepted = true;
    it->second.last_stop_at = now;
  }
}

void Supervisor::UpdateRun(Time now, const RunningTask& listed, LocalRun& run) {
  if (run.phase == Phase::kInDoubt) {
    run.phase = Phase::kOnWorker;
    run.last_progress_at = now;
  }
  if (listed.percent != run.progress_percent) {
    run.progress_percent = listed.percent;
    run.last_progress_at = now;
  }
  if (!listed.checkpoint.empty()) {
    run.newest_checkpoint = listed.checkpoint;
  }
}

void Supervisor::ResolveInDoubtRuns(Time now, const HoldReply& reply) {
  std::set<TaskRef> listed;
  for (const RunningTask& t : reply.running) {
    listed.insert(t.task);
  }
  for (const TaskEnded& e : reply.ended) {
    listed.insert(e.task);
  }
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kInDoubt || run.outcome_queued ||
        listed.contains(task)) {
      continue;
    }
    if (run.start_sent && !run.stop_requested &&
        now - run.ordered_at < options_.start_window) {
      run.phase = Phase::kPending;
    } else {
      RecordRefusal(task, run, "the start was not carried out");
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
  if (const auto heartbeat = claims_.Remove(call.incarnation)) {
    TakeIncarnation(now, *heartbeat, reply);
  }
}

void Supervisor::OnHoldReply(Time now,
                             const HoldCall& call,
                             const HoldReply& reply) {
  if (call.verifies_incarnation) {
    OnVerificationReply(now, call, reply);
    return;
  }
  if (!worker_ || worker_->incarnation != call.incarnation) {
    return;
  }
  const bool is_other_incarnation =
      reply.kind == HoldReply::Kind::kWrongIncarnation ||
      (reply.started_at_unix_ms &&
       *reply.started_at_unix_ms != worker_->incarnation.started_at_unix_ms);
  if (is_other_incarnation) {
    if (!has_departed_) {
      EndIncarnation(Ending::kUnannounced, "another incarnation answers");
    }
    return;
  }
  UpdateWorkerClock(now, reply.clock_ms);
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
    } else {
      // A refused listing has renewed nothing, so it counts as no answer.
      contact_.OnNoAnswer(now);
    }
    return;
  }
  contact_.OnAnswer(now);
  std::set<TaskRef> running;
  for (const RunningTask& t : reply.running) {
    running.insert(t.task);
    const auto it = runs_.find(t.task);
    if (it != runs_.end() && it->second.run == t.run) {
      UpdateRun(now, t, it->second);
      it->second.stop_accepted =
          it->second.stop_accepted &&
          now - it->second.last_stop_at < kAcceptedStopRetryInterval;
    }
  }
  for (const TaskEnded& e : reply.ended) {
    if (e.end_number <= last_queued_end_) {
      continue;
    }
    TaskEnded end = e;
    end.incarnation = worker_->incarnation;
    unrecorded_ends_[end.end_number] = end;
    last_queued_end_ = end.end_number;
    pending_records_.emplace_back(end);
    const auto it = runs_.find(end.task);
    if (it != runs_.end() && it->second.run == end.run) {
      it->second.outcome_queued = true;
    }
  }
  if (reply.unreadable_rows > 0) {
    return;
  }
  if (call.resolves_in_doubt && call.fence == fence_) {
    ResolveInDoubtRuns(now, reply);
    needs_resolution_ = false;
  }
  // The stop was accepted before this listing, which does not have the run: its
  // start never reached the worker, and is rejected if it still does.
  for (auto& [task, run] : runs_) {
    if (run.stop_accepted && !run.outcome_queued && !running.contains(task) &&
        run.last_stop_at < last_hold_at_) {
      RecordRefusal(task, run, "stopped before it came");
    }
  }
}

}  // namespace marjoramplank
