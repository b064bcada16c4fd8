#include "src/entry/replay.h"

#include <algorithm>

#include "src/entry/gangs.h"
#include "src/entry/regions.h"
#include "src/entry/requests.h"
#include "src/entry/spans.h"

namespace marjoramplank {

namespace {

constexpr Duration kMembershipResend = 5s;
// A member that is silent for this long is recorded as left.
constexpr Duration kMemberExpiry = 30s;
// Key for which Membership chooses the writer of snapshots, like a region.
constexpr const char* kSnapshotOwnerKey = "#snapshot";

void CountOutcome(Metrics& metrics, JobState state) {
  switch (state) {
    case JobState::kDone:
      return metrics.Add(Counter::kJobsDone);
    case JobState::kFailed:
      return metrics.Add(Counter::kJobsFailed);
    case JobState::kCancelled:
      return metrics.Add(Counter::kJobsCancelled);
    case JobState::kNotRun:
      return metrics.Add(Counter::kJobsNotRun);
    case JobState::kMayHaveRun:
      return metrics.Add(Counter::kJobsMayHaveRun);
    case JobState::kQueued:
    case JobState::kStarting:
    case JobState::kRunning:
      return;
  }
}

void AfterAccepted(EntryState& s,
                   Time now,
                   const AcceptedRecord& r,
                   Verdict verdict) {
  if (verdict == Verdict::kApplied) {
    EnsureJobPlanned(s, now, r.job);
  }
  if (const auto it = s.submissions.find(r.job); it != s.submissions.end()) {
    AddSpan(s, r.traceparent, r.job, "submit.record", "",
            it->second.callers.empty() ? now
                                       : it->second.callers.front().received_at,
            now, {{"account", r.spec.account}});
  }
  SettleSubmission(s, now, r.job);
}

void AfterCancel(EntryState& s,
                 Time now,
                 const CancelRecord& r,
                 Verdict verdict) {
  if (verdict != Verdict::kApplied) {
    return;
  }
  const LoggedJob* const job = s.log.FindJob(r.job);
  if (job->withdrawn) {
    const JobOutcome outcome{.state = JobState::kNotRun,
                             .step = "submit.withdraw",
                             .reason = "withdrawn before it was accepted"};
    SettleSubmission(s, now, r.job);
    ReplyToWaits(s, r.job, outcome);
    return;
  }
  if (Planner* const planner = FindPlanner(s, job->region)) {
    planner->Cancel(now, r.job);
  }
}

void AfterAttempt(EntryState& s,
                  Time now,
                  const AttemptRecord& r,
                  Verdict verdict) {
  if (verdict == Verdict::kVoid || verdict == Verdict::kConflict) {
    return;
  }
  if (r.entry == s.SelfId()) {
    OnAttemptRecorded(s, now, r);
    return;
  }
  const LoggedJob* const job = s.log.FindJob(r.job);
  Planner* const planner = FindPlanner(s, job->region);
  if (planner == nullptr || verdict != Verdict::kApplied ||
      !s.regions.at(job->region).jobs_recovered) {
    return;
  }
  // Another planner has started the job: drop our own attempt and adopt the
  // recorded one.
  DropGang(s, r.job);
  planner->DropJob(r.job);
  AdoptGang(s, now, job->region, r.job, r.attempt, r.members, true);
}

void AfterEnded(EntryState& s, const EndedRecord& r, Verdict verdict) {
  const auto it = s.pending_outcomes.find(r.job);
  if (verdict != Verdict::kApplied) {
    const LoggedJob* const job = s.log.FindJob(r.job);
    const bool settled = job == nullptr || job->ended;
    if (it != s.pending_outcomes.end() && (settled || it->second == r)) {
      // Our record was void. If the job is still live, the sweep submits it to
      // its planner again.
      s.pending_outcomes.erase(it);
    }
    return;
  }
  CountOutcome(*s.metrics, r.outcome.state);
  if (it != s.pending_outcomes.end()) {
    s.pending_outcomes.erase(it);
  }
  const LoggedJob* const job = s.log.FindJob(r.job);
  if (Planner* const planner = FindPlanner(s, job->region)) {
    planner->DropJob(r.job);
  }
  DropGang(s, r.job);
  s.last_attempt.erase(r.job);
  s.submitted_at.erase(r.job);
  s.waiting_during_outage.erase(r.job);
  ReplyToWaits(s, r.job, r.outcome);
}

void AfterMember(EntryState& s, const MemberRecord& r) {
  const ProcessId& self = s.options.membership.self;
  if (r.name == self.name) {
    s.listed_as_member = r.joined && r.incarnation == self.incarnation;
    return;
  }
  if (r.joined) {
    s.outputs.emplace_back(DialEntry{.name = r.name, .address = r.address});
  }
}

void ReplayLine(EntryState& s, Time now, const LogLine& line) {
  s.appender.OnRecordRead(line.text);
  const Result<LogRecord> decoded = DecodeLogRecord(line.text);
  const LogRecord* const record = std::get_if<LogRecord>(&decoded);
  if (record == nullptr) {
    // Not a record of this system, or one of a later version.
    s.metrics->Add(Counter::kRecordsVoid);
    return;
  }
  const Verdict verdict = s.log.Apply(line.offset, *record).verdict;
  if (verdict == Verdict::kVoid) {
    s.metrics->Add(Counter::kRecordsVoid);
  }
  std::visit(
      Overloaded{
          [&](const AcceptedRecord& r) { AfterAccepted(s, now, r, verdict); },
          [&](const CancelRecord& r) { AfterCancel(s, now, r, verdict); },
          [&](const AttemptRecord& r) { AfterAttempt(s, now, r, verdict); },
          [&](const EndedRecord& r) { AfterEnded(s, r, verdict); },
          [&](const ConfigRecord& r) {
            ApplyConfig(s, now);
            SettleConfigChange(s, r, verdict);
          },
          [&](const MemberRecord& r) { AfterMember(s, r); },
          [&](const SnapshotRecord& r) {
            if (r.part + 1 == r.parts) {
              s.last_snapshot_offset = line.offset;
              s.last_snapshot_at = now;
            }
          }},
      *record);
}

// Discards the replayed state and waits for a snapshot to restore it from.
void BeginRebuild(EntryState& s) {
  s.rebuilding = true;
  s.caught_up = false;
  s.bootstrap_lines.clear();
  s.snapshot_parts.clear();
}

// Restores the state from a snapshot. Returns false if parts are missing or
// unsound, or if records after the snapshot have expired.
bool TryRestore(EntryState& s,
                const std::map<std::int32_t, SnapshotRecord>& parts,
                Offset first) {
  const SnapshotRecord& any = parts.begin()->second;
  if (parts.size() != static_cast<std::size_t>(any.parts) ||
      any.as_of + 1 < first) {
    return false;
  }
  std::vector<SnapshotRecord> ordered;
  ordered.reserve(parts.size());
  for (const auto& [n, part] : parts) {
    ordered.push_back(part);
  }
  return s.log.Restore(ordered);
}

// Searches the new lines for the last part of a usable snapshot. Returns true
// if the state is complete: a snapshot was restored, or the log still holds its
// first record.
bool TryBootstrap(EntryState& s,
                  Offset first,
                  const std::vector<LogLine>& fresh) {
  for (const LogLine& line : fresh) {
    const Result<LogRecord> decoded = DecodeLogRecord(line.text);
    const LogRecord* const record = std::get_if<LogRecord>(&decoded);
    const SnapshotRecord* const part =
        record == nullptr ? nullptr : std::get_if<SnapshotRecord>(record);
    if (part == nullptr) {
      continue;
    }
    auto& parts = s.snapshot_parts[part->id];
    parts[part->part] = *part;
    if (TryRestore(s, parts, first)) {
      return true;
    }
  }
  return first == 0;
}

void ReplayLines(EntryState& s, Time now, const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    if (line.offset > s.log.position()) {
      ReplayLine(s, now, line);
    }
  }
}

void Bootstrap(EntryState& s, Time now, const LogRead& read) {
  s.bootstrap_lines.insert(s.bootstrap_lines.end(), read.lines.begin(),
                           read.lines.end());
  if (!TryBootstrap(s, read.first, read.lines)) {
    return;
  }
  s.rebuilding = false;
  s.snapshot_parts.clear();
  const std::vector<LogLine> lines = std::move(s.bootstrap_lines);
  s.bootstrap_lines.clear();
  ApplyConfig(s, now);
  ReplayLines(s, now, lines);
  for (const auto& [name, member] : s.log.members()) {
    AfterMember(s, member);
  }
}

void MarkJobsWaitingInOutage(EntryState& s) {
  for (const auto& [id, job] : s.log.jobs()) {
    if (job.IsLive() && job.attempt == 0) {
      s.waiting_during_outage.insert(id);
    }
  }
}

}  // namespace

bool IsLogReadable(const EntryState& s, Time now) {
  return s.last_read_ok &&
         now - s.last_complete_read_at <= s.options.freshness_window;
}

bool HasFreshConfig(const EntryState& s, Time now) {
  if (!s.caught_up || s.config.version == kNoOffset) {
    return false;
  }
  return IsLogReadable(s, now) || s.membership.AllMembersReportLogOutage(
                                      now, s.log.members(), s.config.version);
}

Offset NextOffset(const EntryState& s) {
  if (!s.rebuilding) {
    return s.log.position() + 1;
  }
  return s.bootstrap_lines.empty() ? 0 : s.bootstrap_lines.back().offset + 1;
}

void OnLogRead(EntryState& s, Time now, const LogRead& read) {
  s.metrics->Add(read.ok ? Counter::kLogReads : Counter::kLogReadsFailed);
  if (!read.ok) {
    if (s.last_read_ok) {
      MarkJobsWaitingInOutage(s);
    }
    s.last_read_ok = false;
    return;
  }
  s.last_read_ok = true;
  s.log_end = read.end;
  const Offset wanted = NextOffset(s);
  if (!s.rebuilding && read.first > wanted) {
    BeginRebuild(s);  // Records have expired before they were read.
    return;
  }
  if (s.rebuilding) {
    Bootstrap(s, now, read);
  } else {
    ReplayLines(s, now, read.lines);
  }
  if (s.rebuilding) {
    return;
  }
  if (NextOffset(s) >= read.end) {
    s.caught_up = true;
    s.last_complete_read_at =
        std::max(s.last_complete_read_at, read.requested_at);
    s.appender.OnCompleteRead(now, read.requested_at);
  }
}

void WriteSnapshotIfDue(EntryState& s, Time now) {
  if (!s.caught_up || !IsLogReadable(s, now) ||
      s.log.config().version == kNoOffset) {
    return;
  }
  const Offset since = s.log.position() - s.last_snapshot_offset;
  const bool due =
      since >= s.options.snapshot_records ||
      (since > 1 && now - s.last_snapshot_at >= s.options.snapshot_interval);
  const bool mine =
      s.membership.ChooseOwner(now, kSnapshotOwnerKey, true, s.is_leaving) ==
      s.options.membership.self.name;
  if (!due || !mine) {
    return;
  }
  const std::vector<SnapshotRecord> parts =
      s.log.Snapshot(s.SelfId() + "@" + std::to_string(s.log.position()),
                     s.options.snapshot_part_bytes);
  if (!s.appender.HasRoom(parts.size())) {
    return;
  }
  for (const SnapshotRecord& part : parts) {
    s.appender.Push(Encode(part));
  }
  s.last_snapshot_offset = s.log.position();
  s.last_snapshot_at = now;
}

void MaintainMembership(EntryState& s, Time now) {
  if (!s.caught_up || !IsLogReadable(s, now) ||
      now - s.membership_sent_at < kMembershipResend) {
    return;
  }
  const MembershipOptions& own = s.options.membership;
  if (s.is_leaving == s.listed_as_member) {
    s.membership_sent_at = now;
    s.appender.Push(Encode(MemberRecord{.name = own.self.name,
                                        .incarnation = own.self.incarnation,
                                        .address = own.address,
                                        .joined = !s.is_leaving}));
  }
  for (const auto& [name, member] : s.log.members()) {
    const auto peer = s.membership.peers().find(name);
    const Time last_heartbeat_at = peer == s.membership.peers().end()
                                       ? Time{0}
                                       : peer->second.last_heartbeat_at;
    if (name != own.self.name && now - last_heartbeat_at >= kMemberExpiry) {
      s.membership_sent_at = now;
      MemberRecord left = member;
      left.joined = false;
      s.appender.Push(Encode(left));
    }
  }
}

}  // namespace marjoramplank
