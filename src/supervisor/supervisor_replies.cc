// Answers of the worker: to starts, stops and listings.

#include <set>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

namespace {

// A run that is still there this long after a taken stop is stopped again.
constexpr Duration kStopTakes = 1500ms;

}  // namespace

void Supervisor::OnStartReply(Time now,
                              const StartCall& call,
                              const OrderReply& reply) {
  if (!worker_ || worker_->life != call.life) {
    return;
  }
  SawClock(now, reply.clock_ms);
  const auto it = runs_.find(call.task);
  if (reply.kind == OrderReply::Kind::kNoAnswer) {
    settle_ = true;
    failing_since_ = failing_since_ == Time{0} ? now : failing_since_;
  } else {
    reached_ = now;
    failing_since_ = Time{0};
  }
  if (it == runs_.end() || it->second.run != call.run ||
      it->second.phase != Phase::kStarting) {
    return;
  }
  LocalRun& run = it->second;
  switch (reply.kind) {
    case OrderReply::Kind::kDone:
      run.phase = Phase::kPresent;
      run.progressed = now;
      break;
    case OrderReply::Kind::kOutdated:
      run.phase = Phase::kOrdered;
      break;
    case OrderReply::Kind::kEndedBefore:
      // It may have ended as done: only the list of ends can tell.
      run.phase = Phase::kUnsure;
      settle_ = true;
      break;
    case OrderReply::Kind::kRefused:
    case OrderReply::Kind::kUnhealthy:
      // An earlier try of the same run without an answer would have made it
      // unsure; here nothing of it is on the worker.
      Refuse(call.task, run, reply.reason);
      break;
    case OrderReply::Kind::kWrongLife:
      run.phase = Phase::kOrdered;
      break;
    case OrderReply::Kind::kNoAnswer:
      run.phase = Phase::kUnsure;
      break;
  }
}

void Supervisor::OnStopReply(Time now,
                             const StopCall& call,
                             const OrderReply& reply) {
  if (!worker_ || worker_->life != call.life) {
    return;
  }
  SawClock(now, reply.clock_ms);
  const auto it = runs_.find(call.task);
  if (it == runs_.end() || it->second.run != call.run) {
    return;
  }
  it->second.stop_out = false;
  if (reply.kind == OrderReply::Kind::kDone) {
    it->second.stop_done = true;
    it->second.stop_sent = now;
  }
}

void Supervisor::Observe(Time now, const RunningTask& seen, LocalRun& run) {
  if (run.phase == Phase::kUnsure) {
    run.phase = Phase::kPresent;
    run.progressed = now;
  }
  if (seen.percent != run.percent) {
    run.percent = seen.percent;
    run.progressed = now;
  }
  if (!seen.checkpoint.empty()) {
    run.saved = seen.checkpoint;
  }
}

void Supervisor::SettleUnsure(Time now, const HoldReply& reply) {
  std::set<TaskRef> listed;
  for (const RunningTask& t : reply.running) {
    listed.insert(t.task);
  }
  for (const TaskEnded& e : reply.ended) {
    listed.insert(e.task);
  }
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kUnsure || run.reported || listed.contains(task)) {
      continue;
    }
    if (run.sent && !run.stop && now - run.ordered < options_.start_window) {
      run.phase = Phase::kOrdered;
    } else {
      Refuse(task, run, "the start was not carried out");
    }
  }
}

void Supervisor::OnHoldReply(Time now,
                             const HoldCall& call,
                             const HoldReply& reply) {
  if (!worker_ || worker_->life != call.life) {
    return;
  }
  SawClock(now, reply.clock_ms);
  if (reply.kind != HoldReply::Kind::kOk) {
    seen_end_told_ = std::min(seen_end_told_, call.seen_end - 1);
    if (reply.kind == HoldReply::Kind::kNoAnswer) {
      failing_since_ = failing_since_ == Time{0} ? now : failing_since_;
    }
    if (reply.kind == HoldReply::Kind::kOutdated) {
      settle_ = true;
    }
    return;
  }
  reached_ = now;
  failing_since_ = Time{0};
  std::set<TaskRef> running;
  for (const RunningTask& t : reply.running) {
    running.insert(t.task);
    const auto it = runs_.find(t.task);
    if (it != runs_.end() && it->second.run == t.run) {
      Observe(now, t, it->second);
      it->second.stop_done =
          it->second.stop_done && now - it->second.stop_sent < kStopTakes;
    }
  }
  for (const TaskEnded& e : reply.ended) {
    if (e.number <= last_end_queued_) {
      continue;
    }
    TaskEnded end = e;
    end.life = worker_->life;
    ends_[end.number] = end;
    last_end_queued_ = end.number;
    records_.emplace_back(end);
    const auto it = runs_.find(end.task);
    if (it != runs_.end() && it->second.run == end.run) {
      it->second.reported = true;
    }
  }
  if (call.settles && call.fence == fence_) {
    SettleUnsure(now, reply);
    settle_ = false;
  }
  // A stop that was taken before this listing, of a run that is not there: it
  // never came, and will be rejected if it comes.
  for (auto& [task, run] : runs_) {
    if (run.stop_done && !run.reported && !running.contains(task) &&
        run.stop_sent < hold_sent_) {
      Refuse(task, run, "stopped before it came");
    }
  }
}

}  // namespace marjoramplank
