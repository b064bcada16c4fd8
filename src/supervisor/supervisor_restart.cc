// Settles what a worker that has ended, and may restart under its id, may get
// from calls that were meant for the incarnation before.

#include <algorithm>
#include <utility>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

namespace {

// Until no start can arrive any more. Short, so that a call under the raised
// fencing token reaches the next incarnation before the starts do.
constexpr Duration kRestartListingInterval = 100ms;

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

void Supervisor::OnProcessEnded(Time now,
                                Ending ending,
                                const std::string& reason) {
  Restart restart{.end = TakeLeave(ending, reason)};
  for (const auto& [task, run] : runs_) {
    if (run.outcome_queued || !MayStartArrive(now, run)) {
      continue;
    }
    const Time until = run.phase == Phase::kStarting
                           ? run.begun_at + options_.leases.CallsArriveWithin()
                           : run.may_arrive_until;
    restart.runs[{task, run.run}] = {.may_arrive_until = until,
                                     .ended_by = until};
  }
  BeginRestart(std::move(restart));
}

void Supervisor::OnRestarted(Time now, const std::string& reason) {
  Restart restart{.end = TakeLeave(Ending::kUnannounced, reason)};
  // The clock of the next incarnation is another one: a start that is still
  // under way may be granted the platform's longest lease there.
  const Time ended_by =
      now + options_.leases.MaxLeaseDuration() + options_.leases.call_margin;
  for (const auto& [task, run] : runs_) {
    // A run that was listed was at work in the incarnation that has ended. A
    // pending one may have a start under way that only that one refused.
    const bool was_sent = run.phase != Phase::kPending || run.starts_sent > 0;
    if (was_sent && !run.outcome_queued &&
        (run.last_listed_in == 0 || MayStartArrive(now, run))) {
      restart.runs[{task, run.run}] = {
          .may_arrive_until = run.may_arrive_until,
          .ended_by = std::max(ended_by, run.may_arrive_until)};
    }
  }
  BeginRestart(std::move(restart));
}

void Supervisor::BeginRestart(Restart restart) {
  restart_ = std::move(restart);
  if (restart_->runs.empty()) {
    FinishRestart();
    return;
  }
  std::vector<RunRef> ended;
  for (const auto& [task, run] : runs_) {
    if (!run.outcome_queued && !restart_->runs.contains({task, run.run})) {
      ended.push_back({.task = task, .run = run.run});
    }
  }
  StateEndedRuns(ended);
}

void Supervisor::StateEndedRuns(const std::vector<RunRef>& runs) {
  for (const RunRef& run : runs) {
    restart_->stated.insert({run.task, run.run});
  }
  WorkerEmptied& end = restart_->end;
  for (std::vector<RunRef>& part : SplitRuns(runs)) {
    // A crash is stated once.
    records_.Add(WorkerEmptied{.incarnation = end.incarnation,
                               .crashed = std::exchange(end.crashed, false),
                               .suspects = std::exchange(end.suspects, {}),
                               .runs = std::move(part),
                               .reason = end.reason});
  }
}

void Supervisor::StateUnsentRuns(const Ledger& ledger) {
  const LedgerWorker* entry = ledger.FindWorker(worker_->incarnation);
  if (entry == nullptr) {
    return;
  }
  std::vector<RunRef> unsent;
  for (const auto& [task, live] : entry->runs) {
    const RunKey key(task, live.run);
    const auto known = runs_.find(task);
    // The record of its outcome is under way.
    const bool has_outcome = known != runs_.end() &&
                             known->second.run == live.run &&
                             known->second.outcome_queued;
    if (!has_outcome && !restart_->runs.contains(key) &&
        !restart_->stated.contains(key)) {
      unsent.push_back({.task = task, .run = live.run});
    }
  }
  StateEndedRuns(unsent);
}

void Supervisor::OnRestartStartReply(const StartCall& call,
                                     const CommandReply& reply) {
  if (!restart_ || !WasRefused(reply.kind)) {
    return;
  }
  const auto it = restart_->runs.find({call.task, call.run});
  const auto run = runs_.find(call.task);
  if (it == restart_->runs.end() || restart_->is_listed || run == runs_.end() ||
      run->second.run != call.run) {
    return;
  }
  // Only an earlier start of the run may still arrive.
  it->second.may_arrive_until = run->second.may_arrive_until;
  it->second.ended_by = run->second.may_arrive_until;
}

void Supervisor::FinishRestart() {
  records_.Add(std::move(restart_->end));
  restart_.reset();
}

void Supervisor::FinishRestartIfSettled(Time now) {
  std::erase_if(restart_->runs,
                [&](const auto& run) { return now > run.second.ended_by; });
  if (restart_->runs.empty()) {
    FinishRestart();
  }
}

std::optional<HoldCall> Supervisor::NextRestartHold(Time now) {
  FinishRestartIfSettled(now);
  if (!restart_ || now - last_hold_at_ < std::min(contact_.ListingInterval(),
                                                  kRestartListingInterval)) {
    return std::nullopt;
  }
  last_hold_at_ = now;
  return HoldCall{
      .incarnation = worker_->incarnation,
      .fence = fence_,
      .wait = restart_->is_listed ? options_.stopping_hold_wait : Duration(0),
      .settles_restart = true};
}

void Supervisor::OnRestartHoldReply(Time now,
                                    const HoldCall& call,
                                    const HoldReply& reply) {
  if (!restart_) {
    return;
  }
  switch (reply.kind) {
    case HoldReply::Kind::kOk:
      contact_.OnAnswer(now);
      break;
    case HoldReply::Kind::kWrongIncarnation:
      FinishRestart();
      return;
    case HoldReply::Kind::kStale:
      contact_.OnAnswer(now);
      ++fence_;
      return;
    case HoldReply::Kind::kConnectionRefused:
      contact_.OnConnectionRefused(now);
      if (contact_.HasEnded(now)) {
        OnRestartedProcessEnded(now);
      }
      return;
    default:
      contact_.OnNoAnswer(now);
      return;
  }
  if (reply.unreadable_rows > 0 || call.fence != fence_) {
    return;
  }
  std::map<RunKey, GivenAwayRun> at_work;
  for (const RunningTask& t : reply.running) {
    const RunKey key(t.task, t.run);
    if (const auto it = restart_->runs.find(key); it != restart_->runs.end()) {
      GivenAwayRun& run = at_work.emplace(key, it->second).first->second;
      run.ended_by =
          std::max(run.ended_by, now + options_.leases.MaxLeaseDuration() +
                                     options_.leases.call_margin);
    }
  }
  restart_->runs = std::move(at_work);
  restart_->is_listed = true;
  FinishRestartIfSettled(now);
}

void Supervisor::OnRestartedProcessEnded(Time now) {
  restart_->is_listed = false;
  for (auto& [key, run] : restart_->runs) {
    run = {.may_arrive_until = run.may_arrive_until,
           .ended_by = run.may_arrive_until};
  }
  FinishRestartIfSettled(now);
}

}  // namespace marjoramplank
