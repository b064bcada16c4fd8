#include "src/node/entry_node.h"

#include <utility>

#include "src/jobs/ledger_snapshot.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

namespace {

// Shortest wait for an answer where no other way is left: a repeat would only
// add to the load of a slow log service.
constexpr Duration kOnlyWayPatience = 900ms;
// Longest wait for reading decisions back.
constexpr Duration kReadBack = 900ms;
// The planner looks at the state at least this often: timed runs and patience
// end without a record.
constexpr Duration kPlanTick = 100ms;
// A planner acts on knowledge that is younger than this: a poll and a slow
// answer.
constexpr Duration kFreshLedger = 1200ms;
constexpr Duration kFreshRules = 1500ms;

// Longest wait for the resignation and for open appends at the end.
constexpr Duration kCloseLimit = 700ms;
// The end is looked for this often meanwhile.
constexpr Duration kCloseTick = 10ms;
// A resignation in another way than the planner's is tried for this long: then
// the others have found the seat vacant by themselves.
constexpr Duration kHandOverLimit = 1300ms;

}  // namespace

EntryNode::EntryNode(Options options, const StoreFactory& open_store)
    : options_(std::move(options)),
      ledger_({.records = options_.records,
               .snapshots = options_.snapshots,
               .adopts = true},
              OpenRelayed(open_store),
              open_store(),
              metrics_),
      rules_({.partition = options_.rules},
             OpenRelayed(open_store),
             options_.decode_rules),
      writer_({.partition = options_.records},
              OpenRelayed(open_store),
              metrics_),
      relay_writer_({.partition = options_.records,
                     .patience = {.least = kOnlyWayPatience}},
                    open_store(),
                    metrics_),
      relay_(options_.relay,
             {{.partition = options_.records, .ring = &ledger_.ring()},
              {.partition = options_.rules, .ring = &rules_.ring()}},
             relay_writer_),
      desk_(options_.desk, rules_, ledger_, writer_, metrics_),
      seat_({.name = options_.name, .records = options_.records},
            open_store(),
            [this](LedgerRecord record) {
              writer_.Append({.record = std::move(record),
                              .deadline = BootTime() + kHandOverLimit});
            }),
      dispatcher_(options_.dispatch) {
  ledger_.SetOnRecord(
      [this](const Ledger& ledger, const LedgerRecord& record,
             std::int64_t offset) { LogEndOfJob(ledger, record, offset); });
  writer_.SetOnStored([this](std::int64_t end) { ledger_.Expect(end); });
  relay_writer_.SetOnStored([this](std::int64_t end) { ledger_.Expect(end); });
  ledger_.SetOnGap([this] {
    writer_.RepeatRecent();
    relay_writer_.RepeatRecent();
  });
  ledger_.Start();
  writer_.Append({.record = EntryStarted{.entry = options_.name,
                                         .data_centre = options_.data_centre,
                                         .relay = options_.relay}});
  planner_thread_ = std::thread([this] { PlannerLoop(); });
}

EntryNode::~EntryNode() {
  stopping_ = true;
  planner_thread_.join();
  writer_.Drain(kCloseLimit);
}

bool EntryNode::Ready() const {
  return !leaving_ && desk_.Ready(BootTime());
}

void EntryNode::Leave() {
  leaving_ = true;
}

void EntryNode::Close() {
  resigning_ = true;
  const Time end = BootTime() + kCloseLimit;
  while (!resigned_ && BootTime() < end) {
    std::this_thread::sleep_for(kCloseTick);
  }
  writer_.Drain(kCloseLimit);
  relay_writer_.Drain(kCloseLimit);
}

std::vector<std::string> RelaysOn(const LedgerFollower& ledger,
                                  const std::string& data_centre,
                                  const std::string& self) {
  return ledger.Read([&](const Ledger& state, const LedgerView&) {
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [name, entry] : state.entries()) {
      if (name != self && !entry.relay.empty()) {
        (entry.data_centre == data_centre ? near : far).push_back(entry.relay);
      }
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
  });
}

std::unique_ptr<LogStore> EntryNode::OpenRelayed(
    const StoreFactory& open_store) {
  return std::make_unique<RelayedLogStore>(
      RelayedLogStore::Options{
          .relays =
              [this] {
                return RelaysOn(ledger_, options_.data_centre, options_.name);
              }},
      open_store(), way_health_);
}

bool EntryNode::MayPlan(Time now) const {
  const LedgerView view = ledger_.view();
  const auto rules = rules_.view();
  return view.loaded && rules->loaded && now - view.as_of < kFreshLedger &&
         rules->Age(now) < kFreshRules;
}

PlannerSight EntryNode::Sight() const {
  return ledger_.Read([](const Ledger& ledger, const LedgerView& view) {
    return PlannerSight{.planner = ledger.planner(),
                        .epoch = ledger.planner_epoch(),
                        .planner_seen = ledger.planner_seen(),
                        .readable_since = view.readable_since};
  });
}

void EntryNode::ReadBack(std::optional<std::int64_t> end) {
  if (end) {
    ledger_.Expect(*end);
    ledger_.WaitFor(*end, kReadBack);
  }
}

void EntryNode::LogEndOfJob(const Ledger& ledger,
                            const LedgerRecord& record,
                            std::int64_t offset) {
  if (ledger.planner() != seat_.id()) {
    return;  // One line for all entries.
  }
  const auto* ended = std::get_if<TaskEnded>(&record);
  const auto* cancelled = std::get_if<JobCancelled>(&record);
  const std::string id = ended != nullptr       ? ended->task.job
                         : cancelled != nullptr ? cancelled->job
                                                : "";
  const JobEntry* job = ledger.FindJob(id);
  if (job != nullptr && job->ended() && ledger.ended_jobs() != ended_jobs_) {
    ended_jobs_ = ledger.ended_jobs();
    metrics_.Add(job->phase == JobPhase::kCompleted ? Counter::kJobsDone
                 : job->phase == JobPhase::kFailed  ? Counter::kJobsFailed
                                                    : Counter::kJobsCancelled);
    LogEvent("job_ended")
        .With("job", id)
        .With("phase", ToString(job->phase))
        .With("known_for_ms", (BootTime() - job->seen).count())
        .With("offset", offset);
  }
}

void EntryNode::CountJobs() {
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

void EntryNode::LogDecisions(const std::vector<LedgerRecord>& records,
                             std::int64_t position) {
  for (const LedgerRecord& record : records) {
    if (const auto* r = std::get_if<RunStarted>(&record)) {
      metrics_.Add(Counter::kGangStarts);
      LogEvent event("decide_start");
      event.With("task", ToString(r->first)).With("run", r->run);
      for (const MemberPlace& m : r->members) {
        event.With("on", m.life.id);
      }
      event.With("resumes", !r->checkpoint.empty()).With("position", position);
    } else if (const auto* r = std::get_if<RunStopped>(&record)) {
      LogEvent("decide_stop")
          .With("task", ToString(r->first))
          .With("run", r->run)
          .With("cause", ToString(r->cause))
          .With("position", position);
    } else if (const auto* r = std::get_if<WorkerEmptied>(&record)) {
      LogEvent("worker_lost")
          .With("worker", ToString(r->life))
          .With("reason", r->reason)
          .With("position", position);
    }
  }
}

void EntryNode::Lead(Time now, std::int64_t epoch) {
  std::vector<LedgerRecord> records;
  if (now - last_beat_ >= options_.planner_beat) {
    last_beat_ = now;
    records.emplace_back(PlannerElected{.entry = seat_.id(), .epoch = epoch});
  }
  const auto rules = rules_.view();
  std::int64_t position = 0;
  ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
    position = view.position;
    std::vector<LedgerRecord> plan =
        dispatcher_.Plan({.now = now,
                          .unix_ms = SteadyUnixMs(),
                          .epoch = ledger.planner_epoch(),
                          .ledger = ledger,
                          .rules = *rules});
    LogDecisions(plan, view.position);
    records.insert(records.end(), plan.begin(), plan.end());
  });
  if (!records.empty()) {
    ReadBack(seat_.Append(records, epoch));
  }
}

void EntryNode::SaveSnapshot(Time now) {
  if (now - last_snapshot_ < options_.snapshot_interval) {
    return;
  }
  last_snapshot_ = now;
  CountJobs();
  const auto [bytes, position] =
      ledger_.Read([](const Ledger& ledger, const LedgerView& view) {
        return std::pair(LedgerSnapshot::Save(ledger, view.position),
                         view.position);
      });
  if (position == snapshot_position_) {
    return;
  }
  const bool stored =
      WriteSnapshot(seat_.store(), options_.snapshots, bytes, position);
  snapshot_position_ = stored ? position : snapshot_position_;
  LogEvent("snapshot")
      .With("position", position)
      .With("bytes", bytes.size())
      .With("stored", stored);
}

void EntryNode::PlannerLoop() {
  std::uint64_t version = 0;
  while (!stopping_) {
    version = ledger_.WaitForChange(version, kPlanTick);
    const Time now = BootTime();
    if (!MayPlan(now)) {
      continue;
    }
    const PlannerSight sight = Sight();
    const bool leads = seat_.Leads(sight);
    if (resigning_) {
      if (leads && !resigned_) {
        ReadBack(seat_.Append(
            {PlannerResigned{.entry = seat_.id(), .epoch = sight.epoch}},
            sight.epoch));
        LogEvent("planner_resigned").With("epoch", sight.epoch);
      }
      resigned_ = true;
    } else if (leads) {
      Lead(now, sight.epoch);
      SaveSnapshot(now);
    } else if (seat_.MayStand(sight, now, leaving_)) {
      metrics_.Add(Counter::kOwnershipChanges);
      ReadBack(seat_.Stand(sight.epoch + 1));
    }
  }
}

}  // namespace marjoramplank
