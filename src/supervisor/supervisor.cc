#include "src/supervisor/supervisor.h"

#include <algorithm>
#include <utility>

namespace marjoramplank {

namespace {

// Fences that one run of the process may use. JSON numbers hold 2^53, which
// leaves 2^29 runs.
constexpr std::int64_t kFencesOfProcess = 1 << 24;
// Pause between listings while ends wait to be recorded.
constexpr Duration kUnrecordedPause = 400ms;
// Shortest time between two listings.
constexpr Duration kHoldPause = 15ms;
// Time between recorded observations of one worker.
constexpr Duration kObservePause = 800ms;
// Most starts or stops given out at once.
constexpr std::size_t kOrdersAtOnce = 64;

}  // namespace

Supervisor::Supervisor(Options options)
    : options_(std::move(options)),
      beat_stored_(-options_.leases.renew_within) {}

bool Supervisor::OnHeartbeat(Time now, const WorkerHeartbeat& heartbeat) {
  if (worker_ && heartbeat.life.born_ms < worker_->life.born_ms) {
    return false;
  }
  const bool same = worker_ && worker_->life == heartbeat.life;
  if (same && heartbeat.sequence < worker_->sequence) {
    return true;
  }
  const bool was_leaving = same && worker_->leaving;
  worker_ = heartbeat;
  worker_->leaving = heartbeat.leaving || was_leaving;
  if (!same) {
    BeginLife(now);
  }
  SawClock(now, heartbeat.clock_ms);
  announced_ = false;  // OnLedger() compares it with what the ledger has.
  return true;
}

void Supervisor::BeginLife(Time now) {
  runs_.clear();
  ends_.clear();
  last_end_queued_ = 0;
  seen_end_ = 0;
  seen_end_told_ = 0;
  departed_ = false;
  known_ = false;
  settle_ = true;
  clock_ms_ = 0;
  clock_at_ = now;
  reached_ = now;
  failing_since_ = Time{0};
  report_sent_ = Time{0};
  lease_end_ = Time{0};
}

void Supervisor::OnDeparture(Time, const std::string& worker_id) {
  if (!worker_ || worker_->life.id != worker_id || departed_) {
    return;
  }
  departed_ = true;
  records_.emplace_back(WorkerEmptied{
      .life = worker_->life, .gone = true, .reason = "the worker has left"});
}

bool Supervisor::accepting(Time now) const {
  return worker_ && !departed_ && !worker_->leaving &&
         (failing_since_ == Time{0} ||
          now - failing_since_ < options_.unreachable_after);
}

WorkerReported Supervisor::Report(Time now) const {
  return {.agent = options_.agent,
          .life = worker_->life,
          .service = worker_->service,
          .data_centre = worker_->data_centre,
          .rack = worker_->rack,
          .labels = worker_->labels,
          .capacity = worker_->capacity,
          .accepting = accepting(now),
          .leaves_in_ms = worker_->leaves_in_ms};
}

void Supervisor::SawClock(Time now, std::optional<std::int64_t> clock_ms) {
  if (!clock_ms) {
    return;
  }
  // A late answer must not set the clock back.
  const std::int64_t expected = clock_ms_ + (now - clock_at_).count();
  constexpr std::int64_t kLateMs = 1000;
  if (clock_ms_ == 0 || *clock_ms > expected - kLateMs) {
    clock_ms_ = *clock_ms;
    clock_at_ = now;
  }
}

std::int64_t Supervisor::LeaseUntil(Time now) const {
  return clock_ms_ + (now - clock_at_).count() + options_.leases.lease.count();
}

void Supervisor::OnBeatStored(Time sent) {
  beat_stored_ = std::max(beat_stored_, sent);
}

void Supervisor::Refuse(const TaskRef& task,
                        LocalRun& run,
                        const std::string& reason) {
  run.reported = true;
  records_.emplace_back(StartRefused{
      .life = worker_->life, .task = task, .run = run.run, .reason = reason});
}

void Supervisor::OnLedger(Time now, const Ledger& ledger, bool current) {
  current_ = current;
  const AgentEntry* self = ledger.FindAgent(options_.agent);
  if (fence_ == 0 && self != nullptr && self->process == options_.process) {
    fence_ = self->starts * kFencesOfProcess;
  }
  if (!worker_ || departed_) {
    return;
  }
  known_ = known_ || current;
  const WorkerEntry* entry = ledger.FindWorker(worker_->life);
  const WorkerReported report = Report(now);
  announced_ = entry != nullptr && !entry->gone;
  if (announced_) {
    WorkerReported known = entry->report;
    known.leaves_in_ms = report.leaves_in_ms;
    announced_ = known == report;
  }
  if (entry == nullptr) {
    return;
  }
  seen_end_ = std::max(seen_end_, entry->last_end);
  last_end_queued_ = std::max(last_end_queued_, seen_end_);
  ends_.erase(ends_.begin(), ends_.upper_bound(seen_end_));
  if (!current) {
    return;
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto live = entry->runs.find(it->first);
    const bool gone =
        live == entry->runs.end() || live->second.run != it->second.run;
    it = gone ? runs_.erase(it) : std::next(it);
  }
  for (const auto& [task, live] : entry->runs) {
    const auto [it, added] = runs_.try_emplace(task);
    LocalRun& run = it->second;
    if (added) {
      const JobEntry* job = ledger.FindJob(task.job);
      run = {.run = live.run,
             .gang = live.gang,
             .payload = live.payload,
             .checkpoint = live.checkpoint,
             // Decided after the last look at the end of the ledger, at most
             // that long ago.
             .ordered = current_at_ == Time{0} ? now : current_at_,
             .progressed = now};
      run.lasting =
          job != nullptr && !job->ended() &&
          job->request.steps[static_cast<std::size_t>(task.step)].lasting;
      // Orders of before this process or life may have been carried out.
      run.phase = settle_ ? Phase::kUnsure : Phase::kOrdered;
    }
    run.stop = live.stop;
  }
  current_at_ = now;
}

std::vector<OrderCall> Supervisor::TakeOrders(Time now) {
  std::vector<OrderCall> out;
  if (!worker_ || departed_ || !current_ || fence_ == 0) {
    return out;
  }
  for (auto& [task, run] : runs_) {
    if (out.size() >= kOrdersAtOnce) {
      break;
    }
    if (run.reported) {
      continue;
    }
    if (run.stop) {
      if (run.phase == Phase::kOrdered) {
        Refuse(task, run, "stopped before it was started");
      } else if (run.phase != Phase::kStarting && !run.stop_out &&
                 !run.stop_done && now - run.stop_sent >= options_.stop_retry) {
        run.stop_out = true;
        run.stop_sent = now;
        out.emplace_back(StopCall{.life = worker_->life,
                                  .fence = fence_,
                                  .task = task,
                                  .run = run.run});
      }
      continue;
    }
    if (run.phase != Phase::kOrdered || clock_ms_ == 0) {
      continue;
    }
    if (worker_->leaving) {
      Refuse(task, run, "the worker is leaving");
      continue;
    }
    if (now - run.ordered > options_.start_window) {
      Refuse(task, run, "could not be started in time");
      continue;
    }
    if (!may_renew(now) || settle_) {
      continue;
    }
    run.phase = Phase::kStarting;
    run.sent = true;
    lease_end_ = std::max(lease_end_, now + options_.leases.LongestLease());
    out.emplace_back(StartCall{.life = worker_->life,
                               .fence = fence_,
                               .task = task,
                               .run = run.run,
                               .payload = run.payload,
                               .checkpoint = run.checkpoint,
                               .lease_until = LeaseUntil(now)});
  }
  return out;
}

std::optional<HoldCall> Supervisor::NextHold(Time now) {
  // A listing settles only the runs that are known when it is sent, so the
  // orders of earlier processes must be known.
  if (!worker_ || departed_ || fence_ == 0 || !known_) {
    return std::nullopt;
  }
  const Duration since = now - hold_sent_;
  if (since < kHoldPause) {
    return std::nullopt;
  }
  const bool unrecorded = last_end_queued_ > seen_end_;
  const bool untold = seen_end_ > seen_end_told_;
  bool running = false;
  bool stopping = false;
  for (const auto& [task, run] : runs_) {
    running = running || run.phase != Phase::kOrdered;
    stopping = stopping || run.stop_done;
  }
  if (!settle_ && !running && !untold) {
    return std::nullopt;
  }
  if (unrecorded && !settle_ && !untold && since < kUnrecordedPause) {
    return std::nullopt;
  }
  HoldCall call{.life = worker_->life, .seen_end = seen_end_};
  if (settle_) {
    call.settles = true;
    ++fence_;
  }
  call.fence = fence_;
  if (running && may_renew(now) && clock_ms_ > 0) {
    call.lease_until = LeaseUntil(now);
    lease_end_ = std::max(lease_end_, now + options_.leases.LongestLease());
  }
  constexpr Duration kStoppingWait = 60ms;
  if (running && !settle_ && !unrecorded) {
    call.wait = stopping ? kStoppingWait : options_.hold_wait;
  }
  hold_sent_ = now;
  seen_end_told_ = seen_end_;
  return call;
}

std::vector<LedgerRecord> Supervisor::TakeRecords(Time now) {
  // Ends come before the word of a new life, which drops what ran before it.
  std::vector<LedgerRecord> out = std::move(records_);
  records_.clear();
  if (worker_ && !departed_ && !announced_ &&
      now - report_sent_ >= options_.report_retry) {
    report_sent_ = now;
    out.emplace_back(Report(now));
  }
  if (!worker_ || departed_ || now - observed_ < kObservePause) {
    return out;
  }
  observed_ = now;
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kPresent || run.reported) {
      continue;
    }
    const bool stalled = !run.lasting && run.percent < 100 &&
                         now - run.progressed > options_.stall_after;
    if (run.saved == run.saved_recorded && stalled == run.stalled) {
      continue;
    }
    run.saved_recorded = run.saved;
    run.stalled = stalled;
    out.emplace_back(RunObserved{.life = worker_->life,
                                 .task = task,
                                 .run = run.run,
                                 .percent = run.percent,
                                 .stalled = stalled,
                                 .checkpoint = run.saved});
  }
  // The worker has not answered until its last lease ran out.
  if (failing_since_ != Time{0} && !runs_.empty() && now > lease_end_ &&
      now - failing_since_ > options_.leases.lease) {
    out.emplace_back(
        WorkerEmptied{.life = worker_->life,
                      .reason = "no answer until every lease had run out"});
    lease_end_ = now + options_.leases.lease;  // Not again at once.
  }
  return out;
}

}  // namespace marjoramplank
