#include "src/node/entry_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

namespace {

constexpr char kRunMark[] = "#";  // Between a machine's name and the run.
// Longest wait for an append of decisions, and for reading them back.
constexpr Duration kAppendLimit = 900ms;
// Shortest wait for an answer where no other way is left: a repeat would only
// add to the load of a slow log service.
constexpr Duration kOnlyWayPatience = 900ms;
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
// Vacancy after which an entry that is leaving takes the planning over.
constexpr Duration kLeavingPatience = 150ms;

std::string NewPlannerId(const std::string& name) {
  return name + kRunMark + std::to_string(std::random_device{}());
}

}  // namespace

EntryNode::EntryNode(Options options, const StoreFactory& open_store)
    : options_(std::move(options)),
      planner_id_(NewPlannerId(options_.name)),
      planner_store_(open_store()),
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
    std::this_thread::sleep_for(10ms);
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

void EntryNode::RaiseFence() {
  fence_.Raise();
  const AppendResult result = planner_store_->Append(
      options_.records, {}, fence_.stamp(), kAppendLimit);
  LogEvent("planner_fence_raised")
      .With("producer_epoch", fence_.stamp().epoch)
      .With("stored", result.kind == AppendResult::Kind::kStored)
      .With("reason", result.reason);
}

AppendResult::Kind EntryNode::AppendFenced(
    const std::vector<LedgerRecord>& records,
    std::int64_t epoch) {
  std::vector<std::string> bytes;
  bytes.reserve(records.size());
  for (const LedgerRecord& r : records) {
    bytes.push_back(EncodeRecord(r));
  }
  const AppendResult result = planner_store_->Append(
      options_.records, bytes, fence_.stamp(), kAppendLimit);
  if (result.kind == AppendResult::Kind::kStored) {
    fence_.OnStored();
    const std::int64_t end =
        result.offset + static_cast<std::int64_t>(bytes.size());
    ledger_.Expect(end);
    ledger_.WaitFor(end, kReadBack);
    return result.kind;
  }
  LogEvent("planner_append_failed")
      .With("records", records.size())
      .With("epoch", epoch)
      .With("producer_epoch", fence_.stamp().epoch)
      .With("reason", result.reason);
  if (result.kind == AppendResult::Kind::kFenced) {
    // Somebody stood for election, and may never have come onto the ledger:
    // whoever finds that stands again, further above.
    fence_.OnFenced();
    deposed_in_ = epoch;
  }
  return result.kind;
}

void EntryNode::RunForPlanner(Time now) {
  const auto [epoch, silent] =
      ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
        const Time since = std::max(ledger.planner_seen(), view.readable_since);
        // Nobody plans, or an earlier run of this very process did, or this one
        // did and was fenced off.
        const bool vacant =
            ledger.planner_epoch() > 0 &&
            (ledger.planner().empty() ||
             ledger.planner().starts_with(options_.name + kRunMark));
        // One that leaves itself lets the others go first.
        const Duration patience = leaving_ ? kLeavingPatience : Duration(0);
        return std::pair(ledger.planner_epoch(),
                         vacant ? now - ledger.planner_seen() > patience
                                : now - since > options_.planner_silence);
      });
  if (!silent) {
    return;
  }
  fence_.BeginElection(epoch + 1);
  // Without an answer it is simply repeated: an election that comes late is
  // as good, or void.
  const bool stored =
      AppendFenced({PlannerElected{.entry = planner_id_, .epoch = epoch + 1}},
                   epoch) == AppendResult::Kind::kStored;
  metrics_.Add(Counter::kOwnershipChanges);
  LogEvent("planner_election").With("epoch", epoch + 1).With("stored", stored);
}

void EntryNode::LogEndOfJob(const Ledger& ledger,
                            const LedgerRecord& record,
                            std::int64_t offset) {
  if (ledger.planner() != planner_id_) {
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

void EntryNode::Lead(Time now) {
  std::vector<LedgerRecord> records;
  const std::int64_t epoch =
      ledger_.Read([](const Ledger& ledger, const LedgerView&) {
        return ledger.planner_epoch();
      });
  if (now - last_beat_ >= options_.planner_beat) {
    last_beat_ = now;
    records.emplace_back(PlannerElected{.entry = planner_id_, .epoch = epoch});
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
    const AppendResult::Kind kind = AppendFenced(records, epoch);
    if (kind == AppendResult::Kind::kUnknown ||
        kind == AppendResult::Kind::kOutOfSequence) {
      RaiseFence();
    }
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
      WriteSnapshot(*planner_store_, options_.snapshots, bytes, position);
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
    const auto [planner, epoch] =
        ledger_.Read([](const Ledger& ledger, const LedgerView&) {
          return std::pair(ledger.planner(), ledger.planner_epoch());
        });
    const bool leads = planner == planner_id_ && epoch != deposed_in_;
    if (resigning_) {
      if (leads && !resigned_) {
        AppendFenced({PlannerResigned{.entry = planner_id_, .epoch = epoch}},
                     epoch);
        LogEvent("planner_resigned").With("epoch", epoch);
      }
      resigned_ = true;
    } else if (leads) {
      Lead(now);
      SaveSnapshot(now);
    } else {
      RunForPlanner(now);
    }
  }
}

}  // namespace marjoramplank
