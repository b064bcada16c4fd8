#include "src/supervisor/supervisor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjoramplank {

namespace {

// Fencing tokens that one run of the agent's process may use. JSON numbers are
// exact up to 2^53, which leaves 2^29 runs.
constexpr std::int64_t kFencesPerProcess = 1 << 24;
// A start is not sent later than this after it was decided: the agent may have
// been paused in between, and the order taken back.
constexpr Duration kMaxCommandDelay = 500ms;
// Time between two listings while listed ends are not in the ledger yet.
constexpr Duration kUnrecordedEndsHoldInterval = 400ms;
// The same while ends are withheld for late starts: the worker may answer a
// long poll at once, as it has ends to list.
constexpr Duration kWithheldEndsHoldInterval = 100ms;
// Least time between two rounds of recorded observations.
constexpr Duration kObservationInterval = 800ms;
// The same for first projections: those that become known shortly after one
// another share an append to the log.
constexpr Duration kProjectionInterval = 100ms;
// A run without a projection for this long is not asked for more often than
// others: it is long, makes no progress, or its worker lists none.
constexpr Duration kMaxMeasuringTime = 2500ms;
// A projection that has changed by this factor is recorded again.
constexpr double kProjectionChange = 1.25;
// A task that crashes workers does so as it starts. One that has run for this
// long, measured to the first sign of the crash, is not to blame.
constexpr Duration kCrashBlameWindow = 2s;
// Greatest rise of a heartbeat's sequence number from one to the next: some
// hours without one. A greater number in a single heartbeat is an error.
constexpr std::int64_t kMaxSequenceStep = 10'000;
// Most starts and stops that are returned at once.
constexpr std::size_t kMaxCallsAtOnce = 64;

bool IsNewProjection(Duration recorded, Duration projected) {
  const auto is_longer = [](Duration a, Duration b) {
    return static_cast<double>(a.count()) >
           static_cast<double>(b.count()) * kProjectionChange;
  };
  return projected > Duration(0) &&
         (is_longer(projected, recorded) || is_longer(recorded, projected));
}

}  // namespace

Supervisor::Supervisor(Options options)
    : options_(std::move(options)),
      late_starts_({.process = options_.process,
                    .started_at = options_.started_at,
                    .leases = options_.leases}),
      stored_heartbeat_sent_at_(-options_.leases.max_heartbeat_age) {}

Supervisor::HeartbeatVerdict Supervisor::OnHeartbeat(
    Time now,
    const WorkerHeartbeat& heartbeat) {
  OnRunning(now);
  const bool is_same_incarnation =
      worker_ && worker_->incarnation == heartbeat.incarnation;
  if (!is_same_incarnation || has_departed_) {
    claims_.Add(now, heartbeat);
    return HeartbeatVerdict::kClaimed;
  }
  if (IsOutdated(heartbeat)) {
    return HeartbeatVerdict::kOutdated;
  }
  if (IsContradiction(heartbeat)) {
    return HeartbeatVerdict::kContradicted;
  }
  const bool was_leaving = worker_->leaving;
  worker_ = heartbeat;
  worker_->leaving = heartbeat.leaving || was_leaving;
  is_adopted_ = false;
  contact_.OnHeartbeat(now);
  UpdateWorkerClock(now, heartbeat.clock_ms);
  // OnLedger() compares the new heartbeat with the ledger.
  is_report_recorded_ = false;
  return HeartbeatVerdict::kTaken;
}

bool Supervisor::IsOutdated(const WorkerHeartbeat& heartbeat) {
  if (heartbeat.sequence >= worker_->sequence) {
    outdated_.reset();
    return false;
  }
  const bool has_risen = outdated_ && heartbeat.sequence > outdated_->sequence;
  outdated_ = heartbeat;
  return !has_risen;
}

bool Supervisor::IsContradiction(const WorkerHeartbeat& heartbeat) {
  const auto agree = [](const WorkerHeartbeat& a, const WorkerHeartbeat& b) {
    return a.service == b.service && a.data_centre == b.data_centre &&
           a.rack == b.rack &&
           (a.sequence == 0 || b.sequence - a.sequence <= kMaxSequenceStep);
  };
  if (agree(*worker_, heartbeat)) {
    contradiction_.reset();
    return false;
  }
  const bool is_repeated = contradiction_ && agree(*contradiction_, heartbeat);
  contradiction_ = heartbeat;
  return !is_repeated;
}

void Supervisor::TakeIncarnation(Time now,
                                 const WorkerHeartbeat& heartbeat,
                                 const HoldReply& reply) {
  if (worker_ && !has_departed_) {
    EndIncarnation(Ending::kUnannounced, "a new incarnation answers");
  }
  records_.DropEndOf(heartbeat.incarnation);
  late_starts_.OnWorkerId(heartbeat.incarnation.id);
  worker_ = heartbeat;
  is_adopted_ = false;
  ResetWorkerState(now);
  contact_.OnAnswer(now);
  UpdateWorkerClock(now, heartbeat.clock_ms);
  UpdateWorkerClock(now, reply.clock_ms);
  is_report_recorded_ = false;
}

bool Supervisor::FollowsRecordedWorker(const WorkerIncarnation& claim) const {
  return !worker_ && recorded_worker_.id == claim.id &&
         recorded_worker_ != claim;
}

void Supervisor::AdoptRecordedWorker(Time now, const Ledger& ledger) {
  const LedgerAgent* self = ledger.FindAgent(options_.agent);
  const LedgerWorker* entry =
      self == nullptr ? nullptr : ledger.FindWorker(self->incarnation);
  if (fence_ == 0 || entry == nullptr || entry->incarnation_ended) {
    return;
  }
  const WorkerReported& report = entry->report;
  worker_ = WorkerHeartbeat{.incarnation = report.incarnation,
                            .service = report.service,
                            .data_centre = report.data_centre,
                            .labels = report.labels,
                            .rack = report.rack,
                            .capacity = report.capacity};
  is_adopted_ = true;
  was_accepting_ = report.accepting;
  adopted_at_ = now;
  ResetWorkerState(now);
  // A heartbeat that came before the ledger was read.
  if (const auto claim = claims_.Remove(report.incarnation)) {
    OnHeartbeat(now, *claim);
  }
}

std::optional<Supervisor::HeardWorker> Supervisor::heard_worker(
    Time now) const {
  if (!worker_ || has_departed_ || contact_.heard_at() == Time{0}) {
    return std::nullopt;
  }
  return HeardWorker{.incarnation = worker_->incarnation,
                     .age = now - contact_.heard_at()};
}

void Supervisor::ResetWorkerState(Time now) {
  // An earlier process of the agent, or this one before it gave the worker up,
  // may have renewed leases until now.
  contact_.Reset(now + options_.leases.MaxLeaseDuration(),
                 /*has_answered=*/true);
  contradiction_.reset();
  runs_.clear();
  given_away_runs_.clear();
  unrecorded_ends_.clear();
  last_queued_end_ = 0;
  last_recorded_end_ = 0;
  last_acked_end_ = 0;
  last_suspected_end_ = 0;
  last_overtaken_end_ = 0;
  last_lapsed_end_ = 0;
  first_listed_end_ = 0;
  has_departed_ = false;
  is_departure_claimed_ = false;
  outdated_.reset();
  was_ledger_current_ = false;
  needs_resolution_ = true;
  resolution_listing_ = 0;
  listing_count_ = 0;
  ends_seen_before_listing_ = 0;
  has_hidden_ends_ = false;
  worker_clock_ms_ = 0;
  worker_clock_at_ = now;
  report_sent_at_ = Time{0};
}

void Supervisor::OnDeparture(const std::string& worker_id) {
  if (worker_ && worker_->incarnation.id == worker_id) {
    is_departure_claimed_ = true;
  }
}

void Supervisor::EndIncarnation(Ending ending, const std::string& reason) {
  has_departed_ = true;
  // Earlier starts that are still under way are refused by any incarnation that
  // has got another call first.
  ++fence_;
  // An agent that has not heard the worker itself cannot tell a crash from a
  // power loss, which ends the agent too.
  const bool crashed = ending == Ending::kUnannounced && !worker_->leaving &&
                       !is_departure_claimed_ && contact_.heard_at() != Time{0};
  WorkerEmptied record{.incarnation = worker_->incarnation,
                       .incarnation_ended = true,
                       .crashed = crashed,
                       .reason = reason};
  if (crashed) {
    record.suspects = RunsStartedBefore(
        contact_.IsFailing() ? contact_.failing_since() : contact_.heard_at());
  }
  records_.Add(std::move(record));
}

std::vector<RunRef> Supervisor::RunsStartedBefore(Time crash) const {
  std::vector<std::pair<Time, RunRef>> begun;
  for (const auto& [task, run] : runs_) {
    if (run.begun_at != Time{0} && crash - run.begun_at < kCrashBlameWindow) {
      begun.emplace_back(run.begun_at, RunRef{.task = task, .run = run.run});
    }
  }
  const auto is_later = [](const auto& a, const auto& b) {
    return a.first > b.first;
  };
  std::stable_sort(begun.begin(), begun.end(), is_later);
  begun.resize(std::min(begun.size(), kMaxRunsOfRecord));
  std::vector<RunRef> out;
  out.reserve(begun.size());
  for (auto& [begun_at, run] : begun) {
    out.push_back(std::move(run));
  }
  return out;
}

bool Supervisor::IsAcceptingWork(Time now) const {
  return worker_ && !has_departed_ && !worker_->leaving &&
         (!is_adopted_ || was_accepting_) && contact_.heard_at() != Time{0} &&
         contact_.IsReachable(now) && !HoldsBackEnds(now);
}

AgentStatement Supervisor::NextStatement() {
  return {.process = options_.process, .number = ++last_statement_};
}

WorkerReported Supervisor::MakeWorkerReport(Time now) const {
  return {.agent = options_.agent,
          .incarnation = worker_->incarnation,
          .service = worker_->service,
          .data_centre = worker_->data_centre,
          .rack = worker_->rack,
          .labels = worker_->labels,
          .capacity = worker_->capacity,
          .accepting = IsAcceptingWork(now),
          .leaves_in_ms = worker_->leaves_in_ms};
}

void Supervisor::UpdateWorkerClock(Time now,
                                   std::optional<std::int64_t> clock_ms) {
  if (!clock_ms) {
    return;
  }
  // A delayed reply must not set the clock back.
  const std::int64_t expected =
      worker_clock_ms_ + (now - worker_clock_at_).count();
  constexpr std::int64_t kMaxReplyDelayMs = 1000;
  if (worker_clock_ms_ == 0 || *clock_ms > expected - kMaxReplyDelayMs) {
    worker_clock_ms_ = *clock_ms;
    worker_clock_at_ = now;
  }
}

void Supervisor::OnRunning(Time now) {
  if (contact_.OnRunning(now)) {
    worker_clock_ms_ = 0;
    for (auto& [task, run] : runs_) {
      run.meter.OnPause();
    }
  }
}

std::int64_t Supervisor::LeaseExpiryMs(Time now) const {
  return worker_clock_ms_ + (now - worker_clock_at_).count() +
         options_.leases.lease_duration.count();
}

void Supervisor::ChooseProcessNumber(const LedgerAgent* self) {
  // Processes of an agent don't overlap, so an earlier one had read no more of
  // the ledger than this one has now, and had no greater number. With an equal
  // one, the first heartbeat in the ledger counts.
  if (self == nullptr) {
    process_number_ = std::max<std::int64_t>(process_number_, 1);
  } else if (self->process == options_.process) {
    process_number_ = self->process_number;
  } else if (self->process_number >= process_number_) {
    process_number_ = self->process_number + 1;
  }
}

void Supervisor::OnAgentHeartbeatStored(Time sent_at, Time stored_by) {
  if (CanRenewLeases(stored_by)) {
    SetStoredHeartbeat(sent_at);
  } else {
    unread_heartbeats_.push_back({.sent_at = sent_at, .stored_by = stored_by});
  }
}

void Supervisor::SetStoredHeartbeat(Time sent_at) {
  stored_heartbeat_sent_at_ = std::max(stored_heartbeat_sent_at_, sent_at);
  has_stored_heartbeat_ = true;
}

void Supervisor::CountReadHeartbeats(Time as_of) {
  while (!unread_heartbeats_.empty() &&
         unread_heartbeats_.front().stored_by <= as_of) {
    SetStoredHeartbeat(unread_heartbeats_.front().sent_at);
    unread_heartbeats_.pop_front();
  }
}

void Supervisor::RecordRefusal(Time now,
                               const TaskRef& task,
                               LocalRun& run,
                               const std::string& reason) {
  if (run.may_arrive_until > now) {
    RecordUnanswered(task, run, run.may_arrive_until);
  }
  run.outcome_queued = true;
  records_.Add(StartRefused{.incarnation = worker_->incarnation,
                            .task = task,
                            .run = run.run,
                            .reason = reason});
}

void Supervisor::OnLedger(Time now,
                          const Ledger& ledger,
                          bool current,
                          Time as_of) {
  OnRunning(now);
  is_ledger_current_ = current;
  if (current) {
    CountReadHeartbeats(as_of);
  }
  records_.OnLedger(now, ledger, as_of);
  const LedgerAgent* self = ledger.FindAgent(options_.agent);
  if (current && as_of >= options_.started_at) {
    ChooseProcessNumber(self);
  }
  if (fence_ == 0 && self != nullptr && self->process == options_.process) {
    fence_ = self->process_number * kFencesPerProcess;
  }
  if (!worker_ && current) {
    AdoptRecordedWorker(now, ledger);
  }
  const LedgerWorker* recorded =
      self == nullptr ? nullptr : ledger.FindWorker(self->incarnation);
  recorded_worker_ = recorded == nullptr || recorded->incarnation_ended
                         ? WorkerIncarnation()
                         : self->incarnation;
  // How long earlier processes had run is known once this one is in the ledger.
  if (current && self != nullptr && self->process == options_.process) {
    late_starts_.OnLedger(*self, recorded);
  }
  if (!worker_ || has_departed_) {
    return;
  }
  was_ledger_current_ = was_ledger_current_ || current;
  const LedgerWorker* entry = ledger.FindWorker(worker_->incarnation);
  const WorkerReported report = MakeWorkerReport(now);
  is_report_recorded_ = entry != nullptr && !entry->incarnation_ended;
  if (is_report_recorded_) {
    WorkerReported recorded = entry->report;
    recorded.leaves_in_ms = report.leaves_in_ms;
    recorded.statement = report.statement;
    is_report_recorded_ = recorded == report;
  }
  if (entry == nullptr) {
    return;
  }
  last_recorded_end_ = std::max(last_recorded_end_, entry->last_end_number);
  last_queued_end_ = std::max(last_queued_end_, last_recorded_end_);
  last_overtaken_end_ = entry->last_overtaken_end;
  unrecorded_ends_.erase(unrecorded_ends_.begin(),
                         unrecorded_ends_.upper_bound(last_recorded_end_));
  if (!current) {
    return;
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto live = entry->runs.find(it->first);
    const bool is_gone =
        live == entry->runs.end() || live->second.run != it->second.run;
    if (is_gone) {
      OnRunTaken(it->first, it->second);
    }
    it = is_gone ? runs_.erase(it) : std::next(it);
  }
  for (const auto& [task, live] : entry->runs) {
    const auto [it, is_new] = runs_.try_emplace(task);
    LocalRun& run = it->second;
    if (is_new) {
      const LedgerJob* job = ledger.FindJob(task.job);
      run = {.run = live.run,
             .is_gang = live.gang,
             .need = live.need,
             .payload = live.payload,
             .start_checkpoint = live.checkpoint,
             .meter = ProgressMeter({.is_resumed = !live.checkpoint.empty(),
                                     .is_gang = live.gang}),
             // The order is newer than the last time that the ledger was
             // current: a lower bound of its time.
             .ordered_at =
                 ledger_current_at_ == Time{0} ? now : ledger_current_at_,
             .seen_at = now,
             .last_progress_at = now};
      run.is_long_running =
          job != nullptr && !job->ended() &&
          job->request.steps[static_cast<std::size_t>(task.step)].long_running;
      // A start that an earlier process may have sent may have been carried
      // out, or may still be.
      run.phase = needs_resolution_ && live.agent_process != options_.process
                      ? Phase::kInDoubt
                      : Phase::kPending;
      // Only the process that got the order can have sent the start.
      run.may_arrive_until =
          run.phase == Phase::kInDoubt
              ? late_starts_.ArrivesBy(*self, live.agent_process,
                                       live.sender_ended_at)
              : Time{0};
      run.unanswered_stated = live.start_unanswered;
      // The listings so far were judged without it.
      resolution_listing_ =
          run.phase == Phase::kInDoubt ? 0 : resolution_listing_;
      run.outcome_queued = HasUnrecordedEnd(task, live.run);
    }
    run.stop_requested = live.must_stop;
    run.unanswered_recorded = live.start_unanswered;
  }
  ledger_current_at_ = now;
}

void Supervisor::OnRunTaken(const TaskRef& task, const LocalRun& run) {
  const auto end = std::find_if(
      unrecorded_ends_.begin(), unrecorded_ends_.end(),
      [&](const auto& numbered) {
        return numbered.second.task == task && numbered.second.run == run.run;
      });
  if (end != unrecorded_ends_.end()) {
    last_suspected_end_ = std::max(last_suspected_end_, end->first);
  }
  if (run.phase == Phase::kPending || run.outcome_queued) {
    return;
  }
  given_away_runs_.try_emplace(
      {task, run.run}, GivenAwayRun{.stop_in_flight = run.stop_in_flight,
                                    .stop_accepted = run.stop_accepted,
                                    .last_stop_at = run.last_stop_at});
  if (run.phase != Phase::kOnWorker) {
    needs_resolution_ = true;
    resolution_listing_ = 0;
  }
}

void Supervisor::StopGivenAwayRuns(Time now,
                                   std::map<RunKey, GivenAwayRun>& runs,
                                   std::vector<TaskCommand>& out) {
  for (auto& [key, given_away] : runs) {
    if (out.size() >= kMaxCallsAtOnce) {
      return;
    }
    if (given_away.stop_in_flight || given_away.stop_accepted ||
        now - given_away.last_stop_at < options_.stop_retry_interval) {
      continue;
    }
    given_away.stop_in_flight = true;
    given_away.last_stop_at = now;
    out.emplace_back(StopCall{.incarnation = worker_->incarnation,
                              .fence = fence_,
                              .task = key.first,
                              .run = key.second,
                              .is_given_away = true});
  }
}

void Supervisor::StopUnheardRuns(Time now, std::vector<TaskCommand>& out) {
  if (!has_stored_heartbeat_ || SilenceOf(now) <= options_.leases.LostAfter()) {
    return;
  }
  for (auto& [task, run] : runs_) {
    if (out.size() >= kMaxCallsAtOnce) {
      return;
    }
    if (run.phase == Phase::kOnWorker || run.phase == Phase::kInDoubt) {
      StopRun(now, task, run, out);
    }
  }
}

void Supervisor::StopRun(Time now,
                         const TaskRef& task,
                         LocalRun& run,
                         std::vector<TaskCommand>& out) {
  if (run.outcome_queued || run.stop_in_flight || run.stop_accepted ||
      now - run.last_stop_at < options_.stop_retry_interval) {
    return;
  }
  run.stop_in_flight = true;
  run.last_stop_at = now;
  out.emplace_back(StopCall{.incarnation = worker_->incarnation,
                            .fence = fence_,
                            .task = task,
                            .run = run.run});
}

bool Supervisor::HasUnrecordedEnd(const TaskRef& task, std::int32_t run) const {
  return std::any_of(unrecorded_ends_.begin(), unrecorded_ends_.end(),
                     [&](const auto& numbered) {
                       const TaskEnded& end = numbered.second;
                       return end.task == task && end.run == run;
                     });
}

bool Supervisor::HasRoomFor(const LocalRun& run) const {
  Resources free = worker_->capacity;
  for (const auto& [task, other] : runs_) {
    if (other.phase != Phase::kPending && !other.outcome_queued) {
      free -= other.need;
    }
  }
  return run.need.FitsIn(free);
}

std::vector<TaskCommand> Supervisor::TakeCommands(Time now) {
  OnRunning(now);
  std::vector<TaskCommand> out;
  if (fence_ == 0) {
    return out;
  }
  if (!worker_ || has_departed_) {
    for (StopCall& stop :
         late_starts_.TakeStops(now, options_.stop_retry_interval, fence_)) {
      out.emplace_back(std::move(stop));
    }
    return out;
  }
  StopUnheardRuns(now, out);
  if (!is_ledger_current_) {
    return out;
  }
  StopGivenAwayRuns(now, given_away_runs_, out);
  for (auto& [task, run] : runs_) {
    if (out.size() >= kMaxCallsAtOnce) {
      break;
    }
    if (run.outcome_queued) {
      continue;
    }
    if (run.stop_requested) {
      if (run.phase == Phase::kPending) {
        RecordRefusal(now, task, run, "stopped before it was started");
      } else if (run.phase != Phase::kStarting) {
        StopRun(now, task, run, out);
      }
      continue;
    }
    if (run.phase != Phase::kPending) {
      continue;
    }
    if (run.is_given_up) {
      RecordRefusal(now, task, run, "its lease has run out");
      continue;
    }
    if (worker_->leaving) {
      RecordRefusal(now, task, run, "the worker is leaving");
      continue;
    }
    const bool may_retry = MayRetryStart(now, run);
    if (now - run.ordered_at > options_.start_window && !may_retry) {
      RecordRefusal(now, task, run, "could not be started in time");
      continue;
    }
    if (!HasRoomFor(run)) {
      RecordRefusal(now, task, run, "the worker's capacity has shrunk");
      continue;
    }
    if (!contact_.IsReachable(now)) {
      if (!may_retry) {
        RecordRefusal(now, task, run, "the worker cannot be reached");
      }
      continue;
    }
    if (run.unanswered_stated && !run.unanswered_recorded) {
      continue;
    }
    if (!CanRenewLeases(now) || worker_clock_ms_ == 0 || needs_resolution_ ||
        !given_away_runs_.empty() || HoldsBackEnds(now)) {
      continue;
    }
    run.phase = Phase::kStarting;
    ++run.starts_sent;
    run.begun_at = now;
    contact_.OnStartSent(now + options_.leases.MaxLeaseDuration());
    out.emplace_back(StartCall{.incarnation = worker_->incarnation,
                               .fence = fence_,
                               .task = task,
                               .run = run.run,
                               .payload = run.payload,
                               .checkpoint = run.start_checkpoint,
                               .lease_until = LeaseExpiryMs(now),
                               .send_before = now + kMaxCommandDelay});
  }
  return out;
}

bool Supervisor::IsListingDue(Time now) const {
  // A listing resolves only the runs that are known when it is sent, so the
  // ledger must have been read to its end: it holds the commands of earlier
  // processes.
  return worker_ && !has_departed_ && was_ledger_current_ &&
         now - last_hold_at_ >= contact_.ListingInterval();
}

bool Supervisor::WithholdsEnds(Time now) const {
  if (has_hidden_ends_) {
    return false;
  }
  // Which incarnation lives is known from each listing, so that a start that is
  // not settled yet matters to the first one only.
  return late_starts_.MayArrive(now) ||
         std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
           const LocalRun& run = entry.second;
           return MayStartArrive(now, run) &&
                  (run.unanswered_stated || listing_count_ == 0);
         });
}

bool Supervisor::HoldsBackEnds(Time now) const {
  if (contact_.HaveLeasesEnded(now)) {
    return false;
  }
  const bool is_listed =
      listing_count_ == 0 ||
      (first_listed_end_ > 0 && first_listed_end_ <= last_overtaken_end_);
  const bool is_overtaken =
      is_listed &&
      last_overtaken_end_ > std::max(last_acked_end_, last_lapsed_end_);
  return is_overtaken || last_suspected_end_ > last_recorded_end_;
}

std::optional<HoldCall> Supervisor::NextHold(Time now) {
  OnRunning(now);
  if (fence_ == 0) {
    return std::nullopt;
  }
  const bool is_listing_due = IsListingDue(now);
  if (!is_listing_due || !was_claim_asked_) {
    const auto claim = claims_.TakeDue(now);
    if (claim && !FollowsRecordedWorker(*claim)) {
      was_claim_asked_ = true;
      return HoldCall{
          .incarnation = *claim, .fence = fence_, .verifies_incarnation = true};
    }
  }
  was_claim_asked_ = false;
  if (!is_listing_due) {
    return NextLateStartHold(now);
  }
  const Duration since_last_hold = now - last_hold_at_;
  const bool has_unrecorded_ends = last_queued_end_ > last_recorded_end_;
  const bool holds_back_ends = HoldsBackEnds(now);
  if (!holds_back_ends) {
    last_lapsed_end_ = last_overtaken_end_;
  }
  // A number may come to the next incarnation, whose ends nobody has seen: it
  // has some only if it has got a start.
  const bool withholds_ends = WithholdsEnds(now);
  const bool has_unacked_ends = last_recorded_end_ > last_acked_end_ &&
                                !holds_back_ends && !withholds_ends;
  bool has_started_runs = false;
  bool has_stopping_runs = !given_away_runs_.empty();
  for (const auto& [task, run] : runs_) {
    has_started_runs =
        has_started_runs || (run.phase != Phase::kPending && !run.is_given_up);
    has_stopping_runs = has_stopping_runs || run.stop_accepted;
  }
  const bool must_raise_fence = needs_resolution_ && resolution_listing_ == 0;
  if ((has_unrecorded_ends || holds_back_ends) && !must_raise_fence &&
      !has_unacked_ends && since_last_hold < kUnrecordedEndsHoldInterval) {
    return std::nullopt;
  }
  if (withholds_ends && last_recorded_end_ > last_acked_end_ &&
      !must_raise_fence && since_last_hold < kWithheldEndsHoldInterval) {
    return std::nullopt;
  }
  HoldCall call{.incarnation = worker_->incarnation};
  if (!withholds_ends) {
    call.acked_end = holds_back_ends
                         ? std::max<std::int64_t>(last_acked_end_, 0)
                         : last_recorded_end_;
  }
  call.resolves_in_doubt = needs_resolution_;
  if (must_raise_fence) {
    ++fence_;
  }
  call.fence = fence_;
  // The first listing shows whether the worker has runs of others.
  if (has_started_runs && listing_count_ > 0 && given_away_runs_.empty() &&
      !holds_back_ends && CanRenewLeases(now) && worker_clock_ms_ > 0 &&
      contact_.MayRenewLeases(now)) {
    call.lease_until = LeaseExpiryMs(now);
    call.renew_before = now + kMaxCommandDelay;
    contact_.OnLeaseSent(now + options_.leases.MaxLeaseDuration());
  }
  // Also waits while nothing runs: the connection ends when the worker's
  // process dies, which shows at once that it is no place for new work.
  if (!needs_resolution_ && !has_unrecorded_ends && !contact_.IsFailing() &&
      worker_clock_ms_ > 0) {
    call.wait = has_stopping_runs ? options_.stopping_hold_wait : HoldWait(now);
  }
  last_hold_at_ = now;
  last_acked_end_ = std::max(last_acked_end_, call.acked_end);
  return call;
}

Duration Supervisor::HoldWait(Time now) const {
  Resources free = worker_->capacity;
  bool is_measuring = false;
  for (const auto& [task, run] : runs_) {
    if (!run.outcome_queued) {
      free -= run.need;
    }
    is_measuring =
        is_measuring ||
        (run.phase != Phase::kPending && !run.is_long_running &&
         !run.outcome_queued && run.progress_percent < 100 &&
         !run.meter.Projected() && now - run.seen_at < kMaxMeasuringTime);
  }
  const bool has_room =
      free.cpu_milli > 0 &&
      (free.accelerators > 0 || worker_->capacity.accelerators == 0);
  return is_measuring || has_room
             ? std::min(options_.measuring_hold_wait, options_.max_hold_wait)
             : options_.max_hold_wait;
}

bool Supervisor::IsStalled(Time now, const LocalRun& run) const {
  // A worker lists its ends a page at a time, and may list no later ones while
  // some are not acknowledged.
  const bool may_have_ended = last_acked_end_ < last_recorded_end_ &&
                              run.last_listed_in < listing_count_;
  return !may_have_ended && !run.is_long_running &&
         run.progress_percent < 100 &&
         now - run.last_progress_at > options_.stall_timeout;
}

RunObserved Supervisor::MakeObservation(const TaskRef& task,
                                        LocalRun& run,
                                        bool stalled) const {
  const Duration projection = run.meter.Projected().value_or(Duration(0));
  const bool is_new_projection =
      !run.is_long_running &&
      IsNewProjection(run.recorded_projection, projection);
  run.recorded_checkpoint = run.newest_checkpoint;
  run.recorded_stalled = stalled;
  if (is_new_projection) {
    run.recorded_projection = projection;
  }
  return {.incarnation = worker_->incarnation,
          .task = task,
          .run = run.run,
          .percent = run.progress_percent,
          .stalled = stalled,
          .checkpoint = run.newest_checkpoint,
          .projected_run_time = is_new_projection ? projection : Duration(0)};
}

void Supervisor::TakeProjections(Time now) {
  if (now - last_projection_at_ < kProjectionInterval) {
    return;
  }
  for (auto& [task, run] : runs_) {
    const Duration projection = run.meter.Projected().value_or(Duration(0));
    if (run.phase == Phase::kOnWorker && !run.outcome_queued &&
        !run.is_long_running &&
        IsNewProjection(run.recorded_projection, projection)) {
      last_projection_at_ = now;
      records_.Add(MakeObservation(task, run, IsStalled(now, run)));
    }
  }
}

std::vector<LedgerRecord> Supervisor::TakeRecords(Time now) {
  OnRunning(now);
  // Ends come before the report of a new incarnation, which drops the runs of
  // the one before.
  for (std::vector<RunRef>& part : SplitRuns(late_starts_.TakeExpired(now))) {
    records_.Add(
        StartsExpired{.agent = options_.agent, .runs = std::move(part)});
  }
  std::vector<LedgerRecord> out = TakeDueRecords();
  const bool may_report = contact_.heard_at() != Time{0} ||
                          now - adopted_at_ > WorkerContact::kUnreachableAfter;
  if (worker_ && !has_departed_ && !is_report_recorded_ && may_report &&
      now - report_sent_at_ >= options_.report_retry_interval) {
    report_sent_at_ = now;
    WorkerReported report = MakeWorkerReport(now);
    report.statement = NextStatement();
    out.emplace_back(std::move(report));
  }
  if (!worker_ || has_departed_) {
    return out;
  }
  TakeProjections(now);
  if (now - last_observation_at_ >= kObservationInterval) {
    last_observation_at_ = now;
    TakeObservations(now);
    GiveUpExpiredRuns(now);
  }
  std::vector<LedgerRecord> due = TakeDueRecords();
  out.insert(out.end(), std::make_move_iterator(due.begin()),
             std::make_move_iterator(due.end()));
  return out;
}

std::vector<LedgerRecord> Supervisor::TakeDueRecords() {
  return records_.TakeDue([this] { return NextStatement(); });
}

void Supervisor::TakeObservations(Time now) {
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kOnWorker || run.outcome_queued) {
      continue;
    }
    const bool stalled = IsStalled(now, run);
    if (run.newest_checkpoint != run.recorded_checkpoint ||
        stalled != run.recorded_stalled) {
      records_.Add(MakeObservation(task, run, stalled));
    }
  }
}

void Supervisor::GiveUpExpiredRuns(Time now) {
  if (!contact_.HaveLeasesExpired(now)) {
    return;
  }
  std::vector<RunRef> expired;
  for (auto& [task, run] : runs_) {
    if (run.phase != Phase::kPending && !run.outcome_queued &&
        !run.is_given_up && !MayStartArrive(now, run)) {
      run.is_given_up = true;
      expired.push_back({.task = task, .run = run.run});
    }
  }
  for (std::vector<RunRef>& part : SplitRuns(expired)) {
    records_.Add(
        WorkerEmptied{.incarnation = worker_->incarnation,
                      .runs = std::move(part),
                      .reason = "no answer until every lease had run out"});
  }
}

}  // namespace marjoramplank
