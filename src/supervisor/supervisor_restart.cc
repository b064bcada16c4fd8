// Settles what a worker that has ended, and may restart under its id, may get
// from calls that were meant for the incarnation before.

#include <algorithm>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

namespace {

// Between two calls to the id of late starts. Short, so that a call under the
// raised fencing token reaches the next incarnation before the starts do.
constexpr Duration kLateStartHoldInterval = 100ms;

// The call had no effect and will have none.
bool WasRefused(CommandReply::Kind kind) {
  switch (kind) {
    case CommandReply::Kind::kRefused:
    case CommandReply::Kind::kStale:
    case CommandReply::Kind::kUnhealthy:
    case CommandReply::Kind::kWrongIncarnation:
    case CommandReply::Kind::kNotSent:
    case CommandReply::Kind::kConnectionRefused:
      return true;
    case CommandReply::Kind::kDone:
    case CommandReply::Kind::kAlreadyRan:
    case CommandReply::Kind::kNoAnswer:
      return false;
  }
  return false;
}

}  // namespace

bool Supervisor::MayStartArrive(Time now, const LocalRun& run) const {
  return run.phase == Phase::kStarting || run.may_arrive_until > now;
}

bool Supervisor::MayRetryStart(Time now, const LocalRun& run) const {
  // The other members of a gang don't wait.
  return !run.is_gang && run.may_arrive_until > now;
}

void Supervisor::RecordUnanswered(const TaskRef& task,
                                  LocalRun& run,
                                  Time arrives_by) {
  late_starts_.SetArrival({.task = task, .run = run.run}, arrives_by);
  if (!run.unanswered_stated) {
    run.unanswered_stated = true;
    records_.Add(StartUnanswered{
        .incarnation = worker_->incarnation, .task = task, .run = run.run});
  }
}

void Supervisor::OnProcessEnded(Time now,
                                Ending ending,
                                const std::string& reason) {
  for (auto& [task, run] : runs_) {
    if (!run.outcome_queued && MayStartArrive(now, run)) {
      RecordUnanswered(task, run,
                       run.phase == Phase::kStarting
                           ? run.begun_at + options_.leases.CallsArriveWithin()
                           : run.may_arrive_until);
    }
  }
  EndIncarnation(ending, reason);
}

void Supervisor::OnRestarted(Time now, const std::string& reason) {
  for (auto& [task, run] : runs_) {
    // A run that was listed was at work in the incarnation that has ended. A
    // pending one may have a start under way that only that one refused.
    const bool was_sent = run.phase != Phase::kPending || run.starts_sent > 0;
    if (was_sent && !run.outcome_queued &&
        (run.last_listed_in == 0 || MayStartArrive(now, run))) {
      const Time arrives_by =
          run.phase == Phase::kStarting
              ? run.begun_at + options_.leases.CallsArriveWithin()
              : run.may_arrive_until;
      RecordUnanswered(task, run, arrives_by);
      late_starts_.SetMaybeAtWork(now, {.task = task, .run = run.run},
                                  std::max(arrives_by, now));
    }
  }
  EndIncarnation(Ending::kUnannounced, reason);
}

void Supervisor::OnReplyAfterEnd(const StartCall& call,
                                 const CommandReply& reply,
                                 const LocalRun& run) {
  if (has_departed_ && run.unanswered_stated && WasRefused(reply.kind)) {
    // Only an earlier start of the run may still arrive.
    late_starts_.SetArrival({.task = call.task, .run = call.run},
                            run.may_arrive_until);
  }
}

std::optional<HoldCall> Supervisor::NextLateStartHold(Time now) {
  const std::optional<WorkerIncarnation> worker = late_starts_.WorkerToCall();
  if (!worker || (worker_ && !has_departed_) ||
      now - last_hold_at_ < kLateStartHoldInterval) {
    return std::nullopt;
  }
  last_hold_at_ = now;
  return HoldCall{
      .incarnation = *worker, .fence = fence_, .settles_late_starts = true};
}

void Supervisor::OnLateStartHoldReply(Time now,
                                      const HoldCall& call,
                                      const HoldReply& reply) {
  switch (reply.kind) {
    case HoldReply::Kind::kOk:
      if (reply.unreadable_rows == 0 && call.fence == fence_) {
        late_starts_.OnListing(call.incarnation.id, last_hold_at_, now,
                               reply.running);
      }
      return;
    case HoldReply::Kind::kWrongIncarnation:
      late_starts_.OnIdRejected(call.incarnation.id);
      return;
    case HoldReply::Kind::kStale:
      ++fence_;
      return;
    case HoldReply::Kind::kConnectionRefused:
      late_starts_.OnConnectionRefused(now);
      return;
    default:
      return;
  }
}

}  // namespace marjoramplank
