#include "src/entry/entry_core.h"

#include <algorithm>
#include <utility>

#include "src/codec/object_reader.h"
#include "src/entry/gangs.h"
#include "src/entry/regions.h"
#include "src/entry/replay.h"
#include "src/entry/requests.h"
#include "src/entry/spans.h"

namespace marjoramplank {

namespace {

// Minimum time between BeginShutdown and the exit, so that the peers receive a
// heartbeat with the `leaving` flag.
constexpr Duration kLeaveNoticePeriod = 1s;

// Stores a span received from another process. Malformed spans are dropped.
void StoreForeignSpan(EntryState& s, const std::string& line) {
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(line);
  const Poco::JSON::Object::Ptr* const object =
      std::get_if<Poco::JSON::Object::Ptr>(&parsed);
  if (object == nullptr) {
    return;
  }
  Span span;
  std::vector<FieldError> errors;
  ObjectReader reader(*object, "", errors);
  reader.Read("trace_id", span.trace_id);
  reader.Read("span_id", span.span_id);
  reader.Read("parent_id", span.parent_id);
  reader.Read("name", span.name);
  reader.Read("process", span.process);
  reader.Read("start_ms", span.start_ms);
  reader.Read("end_ms", span.end_ms);
  StoreSpan(s, std::move(span));
}

}  // namespace

EntryCore::EntryCore(EntryOptions options, Metrics* metrics)
    : state_(std::move(options), metrics) {}

std::vector<EntryOutput> EntryCore::Step(Time now, const EntryInput& input) {
  EntryState& s = state_;
  std::visit(
      Overloaded{
          [&](const SubmitRequest& i) { OnSubmit(s, now, i); },
          [&](const WaitRequest& i) { OnWait(s, now, i); },
          [&](const CancelRequest& i) { OnCancel(s, now, i); },
          [&](const ListRequest& i) { OnList(s, i); },
          [&](const ChangeConfigRequest& i) { OnChangeConfig(s, now, i); },
          [&](const ShowConfigRequest& i) { OnShowConfig(s, i); },
          [&](const QueryRequest& i) { OnQueryRequest(s, now, i); },
          [&](const LogRead& i) { OnLogRead(s, now, i); },
          [&](const AppendDone& i) {
            s.metrics->Observe(Latency::kAppend, ToSeconds(i.duration));
            if (i.outcome != AppendOutcome::kStored) {
              s.metrics->Add(i.outcome == AppendOutcome::kUnknown
                                 ? Counter::kAppendsUnknown
                                 : Counter::kAppendsFailed);
            }
            s.appender.OnAppendDone(now, i);
          },
          [&](const RecordFetched& i) { OnRecordFetched(s, i); },
          [&](const PeerMessage& i) { OnPeerMessage(now, i.peer, i.message); },
          [&](const PeerConnected& i) {
            s.connected_peers.insert(i.peer.name);
          },
          [&](const PeerDisconnected& i) {
            s.connected_peers.erase(i.peer);
            UpdateWorkerAvailability(s, now);
          },
          [&](const BeginShutdown&) {
            s.is_leaving = true;
            s.leaving_since = now;
            s.membership_sent_at = Time{-1'000'000};
            ExpireAllWaits(s);
            SendHeartbeats(now);
          },
          [&](const EntryTick&) { OnTick(now); }},
      input);
  RunPlanners(s, now);
  while (std::optional<AppendBatch> batch = s.appender.NextBatch(now)) {
    s.metrics->Add(Counter::kAppends);
    s.metrics->Add(Counter::kAppendRecords, batch->lines.size());
    s.outputs.emplace_back(std::move(*batch));
  }
  return std::exchange(s.outputs, {});
}

void EntryCore::OnPeerMessage(Time now,
                              const std::string& peer,
                              const Message& message) {
  EntryState& s = state_;
  s.metrics->Add(Counter::kMessagesIn);
  std::visit(
      Overloaded{
          [&](const AgentReport& m) { OnAgentReport(s, now, m); },
          [&](const PrepareReply& m) { OnPrepareReply(s, now, m); },
          [&](const CommitReply& m) { OnCommitReply(s, now, m); },
          [&](const StopReply& m) { OnStopReply(s, now, m); },
          [&](const TaskResult& m) { OnTaskResult(s, now, m); },
          [&](const PeerHeartbeat& m) { s.membership.OnHeartbeat(now, m); },
          [&](const Query& m) { OnQuery(s, now, m); },
          [&](const QueryReply& m) { OnQueryReply(s, m); },
          [&](const SpanBatch& m) {
            for (const std::string& line : m.spans) {
              StoreForeignSpan(s, line);
            }
          },
          [](const auto&) {}},  // Messages to agents.
      message);
  (void)peer;
}

void EntryCore::SendHeartbeats(Time now) {
  EntryState& s = state_;
  s.last_heartbeat_at = now;
  std::vector<std::string> owned;
  for (const auto& [name, region] : s.regions) {
    if (region.planner != nullptr) {
      owned.push_back(name);
    }
  }
  for (const std::string& peer : s.connected_peers) {
    if (s.agents.contains(peer)) {
      continue;
    }
    PeerHeartbeat heartbeat = s.membership.MakeHeartbeat(now, peer);
    heartbeat.log_visible = IsLogReadable(s, now);
    heartbeat.log_position = s.log.position();
    heartbeat.config_version = s.config.version;
    heartbeat.owned_regions = owned;
    heartbeat.shutting_down = s.is_leaving;
    s.Send(peer, std::move(heartbeat));
  }
}

void EntryCore::OnTick(Time now) {
  EntryState& s = state_;
  if (now - s.last_heartbeat_at >= s.options.membership.heartbeat_interval) {
    SendHeartbeats(now);
  }
  ExpireRequests(s, now);
  UpdateOwnership(s, now);
  UpdateWorkerAvailability(s, now);
  TickGangs(s, now);
  SweepUnplannedJobs(s, now);
  MaintainMembership(s, now);
  WriteSnapshotIfDue(s, now);
  UpdateGauges(now);
}

void EntryCore::UpdateGauges(Time now) {
  const EntryState& s = state_;
  Metrics& m = *s.metrics;
  std::int64_t owned = 0;
  std::int64_t agents = 0;
  for (const auto& [name, region] : s.regions) {
    owned += region.planner == nullptr ? 0 : 1;
  }
  for (const auto& [name, agent] : s.agents) {
    agents += now - agent.last_report_at <= s.options.agent_timeout ? 1 : 0;
  }
  m.Set(Gauge::kLogVisible, IsLogReadable(s, now) ? 1 : 0);
  m.Set(Gauge::kFresh, HasFreshConfig(s, now) ? 1 : 0);
  m.Set(Gauge::kConfigVersion, s.config.version);
  m.Set(Gauge::kAgents, agents);
  m.Set(Gauge::kRegionsOwned, owned);
  m.Set(Gauge::kPendingAppends,
        static_cast<std::int64_t>(s.appender.pending()));
  m.Set(Gauge::kLiveJobs, static_cast<std::int64_t>(s.log.jobs().size()));
  m.Set(Gauge::kRunningJobs, static_cast<std::int64_t>(s.gangs.size()));
}

Offset EntryCore::NextOffset() const {
  return marjoramplank::NextOffset(state_);
}

bool EntryCore::IsReady(Time now) const {
  return state_.caught_up && !state_.is_leaving && HasFreshConfig(state_, now);
}

bool EntryCore::IsDrained(Time now) const {
  const EntryState& s = state_;
  return s.is_leaving && now - s.leaving_since >= kLeaveNoticePeriod &&
         !HasOpenRequests(s) && s.appender.pending() == 0 &&
         !s.listed_as_member;
}

std::string EntryCore::DebugState(Time now) const {
  const EntryState& s = state_;
  Poco::JSON::Object::Ptr out =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  out->set("entry", s.SelfId());
  out->set("log_position", s.log.position());
  out->set("log_end", s.log_end);
  out->set("log_visible", IsLogReadable(s, now));
  out->set("fresh", HasFreshConfig(s, now));
  out->set("rebuilding", s.rebuilding);
  out->set("config_version", s.config.version);
  out->set("pending_appends", s.appender.pending());
  out->set("open_submits", s.submissions.size());
  out->set("open_waits", s.pending_waits.size());
  out->set("jobs_known", s.log.jobs().size());
  Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
  for (const auto& [name, member] : s.log.members()) {
    members->add(name + " at " + member.address +
                 (s.membership.IsLive(now, name) ? " live" : ""));
  }
  out->set("members", members);
  Poco::JSON::Array::Ptr gangs = new Poco::JSON::Array;
  for (const auto& [id, gang] : s.gangs) {
    gangs->add(id + " attempt " + std::to_string(gang.attempt) + " " +
               ToString(gang.phase));
  }
  out->set("gangs", gangs);
  Poco::JSON::Array::Ptr regions = new Poco::JSON::Array;
  for (const auto& [name, region] : s.regions) {
    regions->add(name + " planned by " + region.candidate_owner +
                 (region.planner != nullptr ? " (here)" : ""));
  }
  out->set("regions", regions);
  return ToText(out);
}

}  // namespace marjoramplank
