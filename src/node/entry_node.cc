#include "src/node/entry_node.h"

#include <cmath>
#include <set>
#include <utility>

#include "src/jobs/ledger_snapshot.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/relay/relay_order.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

namespace {

// Shortest append timeout of a writer that has no other route: a repeat would
// only add to the load of a slow log service.
constexpr Duration kMinTimeoutWithoutFallback = 900ms;
// Longer than appends wait in the log service before it refuses them (2 s).
constexpr Duration kMaxTimeoutWithoutFallback = 2200ms;
// Heartbeats of agents wait this long for others to share an append. Well below
// the age limit of a heartbeat.
constexpr Duration kHeartbeatLinger = 150ms;
// Longest wait until the planner's own decisions are replayed.
constexpr Duration kReplayTimeout = 900ms;
// Longest interval between two planning steps: due times of recurring jobs and
// timeouts pass without a record on the ledger.
constexpr Duration kPlanInterval = 100ms;
// The planner acts only on a ledger and rules younger than this: one poll and
// one slow answer.
constexpr Duration kMaxLedgerAge = 1200ms;
constexpr Duration kMaxRulesAge = 1500ms;

// A plan that takes longer is logged: orders wait for it.
constexpr Duration kSlowPlan = 50ms;
// A reservation or a wait that lasts is logged this often.
constexpr Duration kWaitLogInterval = 1s;

constexpr double kPercent = 100;
constexpr Duration kDeclineLogInterval = 1s;  // For each unit.

// Time between two reports of machines whose speed has changed.
constexpr Duration kSpeedReportInterval = 500ms;

// Longest wait for the resignation and for open appends at shutdown.
constexpr Duration kShutdownTimeout = 700ms;
constexpr Duration kShutdownPollInterval = 10ms;
// A resignation over a fallback route is retried for this long. By then the
// other entries have run into their election timeout.
constexpr Duration kResignationTimeout = 1300ms;

Counter CounterOfStops(StopCause cause) {
  switch (cause) {
    case StopCause::kReclaim:
      return Counter::kStopsPreempted;
    case StopCause::kEvacuated:
      return Counter::kStopsEvacuated;
    case StopCause::kStalled:
      return Counter::kStopsStalled;
    case StopCause::kMigrated:
      return Counter::kStopsMigrated;
  }
  return Counter::kStopsPreempted;
}

std::int64_t ToPercent(double ratio) {
  return std::llround(ratio * 100);
}

}  // namespace

EntryNode::EntryNode(Options options, const StoreFactory& open_store)
    : options_(std::move(options)),
      ledger_({.records = options_.records,
               .snapshots = options_.snapshots,
               .adopt_state_after_gap = true},
              OpenRelayed(open_store),
              open_store(),
              metrics_),
      rules_({.partition = options_.rules},
             OpenRelayed(open_store),
             options_.decode_rules),
      writer_({.partition = options_.records},
              OpenRelayed(open_store),
              metrics_),
      relay_writer_(
          {.partition = options_.records,
           .append_timeout = {.min_timeout = kMinTimeoutWithoutFallback,
                              .max_timeout = kMaxTimeoutWithoutFallback},
           .heartbeat_linger = kHeartbeatLinger},
          open_store(),
          metrics_),
      relay_(options_.relay_address,
             {{.partition = options_.records, .ring = &ledger_.ring()},
              {.partition = options_.rules, .ring = &rules_.ring()}},
             relay_writer_),
      job_service_(options_.job_service, rules_, ledger_, writer_, metrics_),
      explain_service_({.dispatch = options_.dispatch},
                       rules_,
                       ledger_,
                       job_service_),
      leadership_(
          {.name = options_.name,
           .records = options_.records,
           .last_read_at = [this] { return ledger_.view().as_of; }},
          open_store(),
          [this](LedgerRecord record) {
            writer_.Append({.record = std::move(record),
                            .deadline = BootClockNow() + kResignationTimeout});
          }),
      dispatcher_(options_.dispatch) {
  ledger_.SetOnRecord([this](const Ledger& ledger, const LedgerRecord& record,
                             std::int64_t offset) {
    LogRecordEffects(ledger, record, offset);
  });
  writer_.SetOnStored([this](std::int64_t end) { ledger_.ExpectEnd(end); });
  relay_writer_.SetOnStored(
      [this](std::int64_t end) { ledger_.ExpectEnd(end); });
  ledger_.SetOnGap([this] {
    writer_.ReappendRecent();
    relay_writer_.ReappendRecent();
  });
  ledger_.Start();
  writer_.Append(
      {.record = EntryStarted{.entry = options_.name,
                              .data_centre = options_.data_centre,
                              .relay_address = options_.relay_address}});
  planner_thread_ = std::thread([this] { PlannerLoop(); });
}

EntryNode::~EntryNode() {
  stop_requested_ = true;
  planner_thread_.join();
  writer_.Drain(kShutdownTimeout);
}

bool EntryNode::IsReady() const {
  return !is_draining_ && job_service_.IsReady(BootClockNow());
}

void EntryNode::StartDraining() {
  is_draining_ = true;
}

void EntryNode::Close() {
  resign_requested_ = true;
  const Time end = BootClockNow() + kShutdownTimeout;
  while (!has_resigned_ && BootClockNow() < end) {
    std::this_thread::sleep_for(kShutdownPollInterval);
  }
  writer_.Drain(kShutdownTimeout);
  relay_writer_.Drain(kShutdownTimeout);
}

std::vector<std::string> RelayAddresses(const LedgerFollower& ledger,
                                        const std::string& data_centre,
                                        const std::string& self,
                                        RouteHealth::Operation operation) {
  RelayOrderInput input{
      .process_name = self,
      .data_centre = data_centre,
      .is_append = operation == RouteHealth::Operation::kAppend};
  ledger.Read([&](const Ledger& state, const LedgerView&) {
    for (const auto& [name, entry] : state.entries()) {
      if (name != self) {
        input.entries.push_back(entry);
      }
    }
    for (const auto& [incarnation, worker] : state.workers()) {
      input.agents += worker.report.data_centre == data_centre ? 1 : 0;
    }
  });
  return OrderRelays(input);
}

std::unique_ptr<LogStore> EntryNode::OpenRelayed(
    const StoreFactory& open_store) {
  return std::make_unique<RelayedLogStore>(
      RelayedLogStore::Options{.relay_addresses =
                                   [this](RouteHealth::Operation operation) {
                                     return RelayAddresses(
                                         ledger_, options_.data_centre,
                                         options_.name, operation);
                                   }},
      open_store(), route_health_);
}

bool EntryNode::HasFreshState(Time now) const {
  const LedgerView view = ledger_.view();
  const auto rules = rules_.view();
  return view.loaded && rules->loaded && now - view.as_of < kMaxLedgerAge &&
         rules->Age(now) < kMaxRulesAge;
}

PlannerView EntryNode::CurrentPlanner() const {
  return ledger_.Read([](const Ledger& ledger, const LedgerView& view) {
    return PlannerView{.planner_id = ledger.planner(),
                       .epoch = ledger.planner_epoch(),
                       .last_heartbeat_at = ledger.planner_last_seen_at(),
                       .readable_since = view.readable_since};
  });
}

std::size_t EntryNode::EntryCount() const {
  return ledger_.Read([](const Ledger& ledger, const LedgerView&) {
    return ledger.entries().size();
  });
}

void EntryNode::AwaitReplay(std::optional<std::int64_t> end) {
  if (end) {
    ledger_.ExpectEnd(*end);
    ledger_.WaitForPosition(*end, kReplayTimeout);
  }
}

void EntryNode::LogRecordEffects(const Ledger& ledger,
                                 const LedgerRecord& record,
                                 std::int64_t offset) {
  if (ledger.planner() != leadership_.id()) {
    return;
  }
  const bool has_ended_jobs = ledger.ended_jobs() != ended_job_count_;
  ended_job_count_ = ledger.ended_jobs();
  const auto* emptied = std::get_if<WorkerEmptied>(&record);
  if (emptied != nullptr && emptied->crashed) {
    LogWorkerCrash(ledger, *emptied, offset);
  }
  if (!has_ended_jobs) {
    return;
  }
  if (const auto* ended = std::get_if<TaskEnded>(&record)) {
    LogJobEnd(ledger, ended->task.job, offset);
  } else if (const auto* cancelled = std::get_if<JobCancelled>(&record)) {
    LogJobEnd(ledger, cancelled->job, offset);
  } else if (emptied != nullptr) {
    std::set<std::string> jobs;
    for (const RunRef& suspect : emptied->suspects) {
      jobs.insert(suspect.task.job);
    }
    for (const std::string& id : jobs) {
      LogJobEnd(ledger, id, offset);
    }
  }
}

void EntryNode::LogJobEnd(const Ledger& ledger,
                          const std::string& id,
                          std::int64_t offset) {
  const LedgerJob* job = ledger.FindJob(id);
  if (job == nullptr || !job->ended()) {
    return;
  }
  metrics_.Add(job->phase == JobPhase::kCompleted ? Counter::kJobsDone
               : job->phase == JobPhase::kFailed  ? Counter::kJobsFailed
                                                  : Counter::kJobsCancelled);
  LogEvent("job_ended")
      .With("job", id)
      .With("phase", ToString(job->phase))
      .With("known_for_ms", (BootClockNow() - job->first_seen_at).count())
      .With("offset", offset);
}

void EntryNode::LogWorkerCrash(const Ledger& ledger,
                               const WorkerEmptied& record,
                               std::int64_t offset) {
  metrics_.Add(Counter::kWorkerCrashes);
  LogEvent("worker_crashed")
      .With("worker", ToString(record.incarnation))
      .With("suspects", record.suspects.size())
      .With("reason", record.reason)
      .With("offset", offset);
  const LedgerWorker* worker = ledger.FindWorker(record.incarnation);
  for (const CrashSuspect& suspect : worker->crash_suspects) {
    LogEvent("crash_suspect")
        .With("task", ToString(suspect.task))
        .With("worker", ToString(record.incarnation))
        .With("crashed_workers", suspect.crashed_workers);
  }
}

void EntryNode::UpdateJobGauges() {
  const auto rules = rules_.view();
  metrics_.Set(Gauge::kConfigVersion, rules->rules.version);
  ledger_.Read([&](const Ledger& ledger, const LedgerView&) {
    std::int64_t queued = 0;
    for (const std::string& id : ledger.open_jobs()) {
      queued += ledger.jobs().at(id).phase == JobPhase::kQueued ? 1 : 0;
    }
    const auto open = static_cast<std::int64_t>(ledger.open_jobs().size());
    metrics_.Set(Gauge::kQueuedJobs, queued);
    metrics_.Set(Gauge::kRunningJobs, open - queued);
    metrics_.Set(Gauge::kLiveJobs, open);
    metrics_.Set(Gauge::kAgents,
                 static_cast<std::int64_t>(ledger.agents().size()));
  });
}

void EntryNode::ReportMachineSpeeds(Time now) {
  if (now - last_speed_report_at_ < kSpeedReportInterval) {
    return;
  }
  last_speed_report_at_ = now;
  std::vector<MachineSpeedWatch::Change> changes;
  ledger_.Read([&](const Ledger& ledger, const LedgerView&) {
    changes = speed_watch_.Update(now, ledger.run_times());
    metrics_.Set(Gauge::kMachinesMeasured,
                 static_cast<std::int64_t>(ledger.run_times().machine_count()));
  });
  metrics_.Add(Counter::kRunTimeSamples,
               static_cast<std::uint64_t>(speed_watch_.new_samples()));
  metrics_.Set(Gauge::kSlowMachines,
               static_cast<std::int64_t>(speed_watch_.slow_machines()));
  for (const MachineSpeedWatch::Change& change : changes) {
    LogEvent(change.is_slow ? "machine_slow" : "machine_no_longer_slow")
        .With("agent", change.agent)
        .With("slowness_percent",
              static_cast<std::int64_t>(std::lround(100 * change.slowness)))
        .With("samples", change.samples)
        .With("sample_age_ms", change.sample_age.count());
  }
}

void EntryNode::LogDecisions(const std::vector<LedgerRecord>& records,
                             const Dispatcher::Trace& trace,
                             std::int64_t position) {
  auto start = trace.starts.begin();  // In the order of the records.
  for (const LedgerRecord& record : records) {
    if (const auto* r = std::get_if<RunStarted>(&record)) {
      metrics_.Add(Counter::kGangStarts);
      metrics_.Add(Counter::kSlowStarts, start->speed_class > 0 ? 1 : 0);
      LogEvent event("decide_start");
      event.With("task", ToString(r->first)).With("run", r->run);
      for (const MemberPlace& m : r->members) {
        event.With("on", m.incarnation.id);
      }
      event.With("expected_ms", start->expected_run_time.count())
          .With("slowness_percent",
                static_cast<std::int64_t>(start->slowness * kPercent))
          .With("sample_age_ms", start->sample_age.count())
          .With("order", ToString(start->speed_order))
          .With("waited_for_fast", fast_waits_logged_at_.contains(r->first))
          .With("resumes", !r->checkpoint.empty())
          .With("position", position);
      ++start;
    } else if (const auto* r = std::get_if<RunStopped>(&record)) {
      metrics_.Add(CounterOfStops(r->cause));
      LogEvent("decide_stop")
          .With("task", ToString(r->first))
          .With("run", r->run)
          .With("cause", ToString(r->cause))
          .With("position", position);
    } else if (const auto* r = std::get_if<QueueChanged>(&record)) {
      LogEvent("decide_queue_change")
          .With("rules_version", r->rules_version)
          .With("queue", r->before.queue)
          .With("service", r->before.service)
          .With("queue_after", r->after.queue)
          .With("service_after", r->after.service)
          .With("position", position);
    }
  }
}

void EntryNode::LogPlan(const Dispatcher::Trace& trace,
                        Duration took,
                        Duration ledger_age,
                        std::int64_t position) {
  metrics_.Observe(Latency::kStep, ToSeconds(took));
  if (took > kSlowPlan) {
    LogEvent("plan_slow")
        .With("took_ms", took.count())
        .With("ledger_age_ms", ledger_age.count())
        .With("waiting_units", trace.waiting_units)
        .With("usable_workers", trace.usable_workers)
        .With("examined_workers", trace.examined_workers);
  }
  for (const Dispatcher::LostWorker& lost : trace.lost_workers) {
    LogEvent("worker_lost")
        .With("worker", ToString(lost.incarnation))
        .With("silence_ms", lost.silence.count())
        .With("bound_ms", options_.dispatch.leases.LostAfter().count())
        .With("position", position);
  }
  for (const Dispatcher::Preemption& p : trace.preemptions) {
    LogEvent("decide_preempt")
        .With("for", ToString(p.for_unit))
        .With("guaranteed", p.is_guaranteed)
        .With("victim", ToString(p.victim))
        .With("lost_core_s", static_cast<std::int64_t>(p.lost_core_seconds))
        .With("gain", static_cast<std::int64_t>(p.gain))
        .With("loss", static_cast<std::int64_t>(p.loss));
  }
  for (const Migration& m : trace.migrations) {
    LogEvent("decide_migrate")
        .With("unit", ToString(m.first))
        .With("remaining_here_ms", m.remaining_here.count())
        .With("remaining_there_ms", m.remaining_there.count())
        .With("slowness_here_percent", ToPercent(m.slowness_here))
        .With("slowness_there_percent", ToPercent(m.slowness_there))
        .With("ledger_age_ms", ledger_age.count());
  }
}

void EntryNode::LogDeclinedPreemptions(
    const std::vector<Dispatcher::DeclinedPreemption>& declined,
    Time now) {
  std::erase_if(declines_logged_at_, [&](const auto& logged) {
    return now - logged.second >= kDeclineLogInterval;
  });
  for (const Dispatcher::DeclinedPreemption& d : declined) {
    if (!declines_logged_at_.try_emplace(d.for_unit, now).second) {
      continue;
    }
    metrics_.Add(Counter::kPreemptionsDeclined);
    LogEvent("preempt_declined")
        .With("for", ToString(d.for_unit))
        .With("reason", ToString(d.verdict))
        .With("stops", d.stops)
        .With("lost_core_s", static_cast<std::int64_t>(d.lost_core_seconds))
        .With("gain", static_cast<std::int64_t>(d.gain))
        .With("loss", static_cast<std::int64_t>(d.loss));
  }
}

void EntryNode::LogReservations(const std::vector<Reservation>& reservations,
                                Time now) {
  std::erase_if(reservations_logged_at_, [&](const auto& logged) {
    return now - logged.second >= kWaitLogInterval;
  });
  for (const Reservation& r : reservations) {
    if (!reservations_logged_at_.try_emplace(r.gang, now).second) {
      continue;
    }
    LogEvent("reserve")
        .With("gang", ToString(r.gang))
        .With("workers", r.workers)
        .With("starts_in_ms", (r.start_at - now).count());
  }
}

void EntryNode::LogFastWaits(const std::vector<FastWait::Wait>& waits,
                             Time now) {
  std::erase_if(fast_waits_logged_at_, [&](const auto& logged) {
    return now - logged.second >= kWaitLogInterval;
  });
  for (const FastWait::Wait& w : waits) {
    if (!fast_waits_logged_at_.try_emplace(w.unit, now).second) {
      continue;
    }
    metrics_.Add(Counter::kFastWaits);
    LogEvent("wait_for_fast")
        .With("unit", ToString(w.unit))
        .With("units", w.units)
        .With("expected_wait_ms", w.expected_wait.count())
        .With("fast_ms", w.expected_run_time.count())
        .With("slow_ms", w.slow_run_time.count());
  }
}

void EntryNode::PlanOnce(Time now, std::int64_t epoch) {
  std::vector<LedgerRecord> records;
  if (now - last_heartbeat_at_ >= options_.planner_heartbeat_interval) {
    last_heartbeat_at_ = now;
    records.emplace_back(
        PlannerElected{.entry = leadership_.id(), .epoch = epoch});
  }
  const auto rules = rules_.view();
  Dispatcher::Trace trace;
  LedgerView planned_on;
  Duration took{0};
  const std::vector<LedgerRecord> plan =
      ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
        planned_on = view;
        const Time started_at = BootClockNow();
        std::vector<LedgerRecord> out =
            dispatcher_.Plan({.now = now,
                              .unix_ms = SteadyUnixMs(),
                              .epoch = ledger.planner_epoch(),
                              .ledger = ledger,
                              .rules = *rules,
                              .excluded_units = &leadership_.oversized_starts(),
                              .trace = &trace});
        took = BootClockNow() - started_at;
        return out;
      });
  LogPlan(trace, took, now - planned_on.as_of, planned_on.position);
  LogReservations(trace.reservations, now);
  LogDeclinedPreemptions(trace.declined_preemptions, now);
  LogFastWaits(trace.fast_waits, now);
  LogDecisions(plan, trace, planned_on.position);
  records.insert(records.end(), plan.begin(), plan.end());
  if (!records.empty()) {
    AwaitReplay(leadership_.Append(records, epoch));
  }
}

void EntryNode::SaveSnapshot(Time now) {
  if (now - last_snapshot_at_ < options_.snapshot_interval) {
    return;
  }
  last_snapshot_at_ = now;
  UpdateJobGauges();
  const auto [bytes, position] =
      ledger_.Read([](const Ledger& ledger, const LedgerView& view) {
        return std::pair(LedgerSnapshot::Save(ledger, view.position),
                         view.position);
      });
  if (position == snapshot_position_) {
    return;
  }
  const bool stored = WriteSnapshot(leadership_.store(), options_.snapshots,
                                    bytes, position, ledger_.snapshot_parts());
  snapshot_position_ = stored ? position : snapshot_position_;
  LogEvent("snapshot")
      .With("position", position)
      .With("bytes", bytes.size())
      .With("stored", stored);
}

void EntryNode::PlannerLoop() {
  std::uint64_t version = 0;
  while (!stop_requested_) {
    version = ledger_.WaitForChange(version, kPlanInterval);
    const Time now = BootClockNow();
    if (!HasFreshState(now)) {
      continue;
    }
    const PlannerView planner_view = CurrentPlanner();
    const bool is_leader = leadership_.IsLeader(planner_view);
    ledger_.SetReadInterval(
        is_leader ? Duration(0)
                  : options_.follower_read_interval(EntryCount()));
    if (resign_requested_) {
      if (is_leader && !has_resigned_) {
        AwaitReplay(
            leadership_.Append({PlannerResigned{.entry = leadership_.id(),
                                                .epoch = planner_view.epoch}},
                               planner_view.epoch));
        LogEvent("planner_resigned").With("epoch", planner_view.epoch);
      }
      has_resigned_ = true;
    } else if (is_leader) {
      PlanOnce(now, planner_view.epoch);
      ReportMachineSpeeds(now);
      SaveSnapshot(now);
    } else if (leadership_.MayCampaign(planner_view, now, is_draining_,
                                       EntryCount())) {
      metrics_.Add(Counter::kOwnershipChanges);
      ledger_.SetReadInterval(Duration(0));
      AwaitReplay(leadership_.Campaign(planner_view.epoch + 1));
    }
  }
}

}  // namespace marjoramplank
