#include "src/entry/gangs.h"

#include <algorithm>
#include <utility>

#include "src/entry/gang_steps.h"
#include "src/entry/spans.h"

namespace marjoramplank {

namespace {

// A report sent before a member's start may arrive this long after it.
constexpr Duration kReportGrace = 1s;
// Consecutive reports without a member's tasks until they count as lost.
constexpr std::int32_t kMissingReportsUntilLost = 2;

Gang* FindGang(EntryState& s, const std::string& job, std::int32_t attempt) {
  const auto it = s.gangs.find(job);
  return it == s.gangs.end() || it->second.attempt != attempt ? nullptr
                                                              : &it->second;
}

GangMember* FindMember(Gang& gang, const std::string& worker) {
  const auto it = gang.members.find(worker);
  return it == gang.members.end() ? nullptr : &it->second;
}

// Requests the answers of a member whose tasks have succeeded, until they have
// arrived: the member may still be sending them to the previous planner.
void RequestMissingAnswers(EntryState& s,
                           Time now,
                           Gang& gang,
                           const GangMember& member,
                           const AgentReport& report) {
  const bool missing =
      std::any_of(member.placements.begin(), member.placements.end(),
                  [&](const TaskPlacement& p) {
                    return !gang.answers_by_task.contains(p.task);
                  });
  const bool over = std::all_of(
      report.tasks.begin(), report.tasks.end(), [&](const TaskReport& t) {
        return t.job != gang.job || t.attempt != gang.attempt ||
               IsTerminalTaskState(t.state);
      });
  if (missing && over && now >= gang.resend_at) {
    gang.resend_at = now + s.options.resend_interval;
    s.Send(report.agent.name, Collect{.job = gang.job,
                                      .attempt = gang.attempt,
                                      .entry = s.options.membership.self});
  }
}

// Compares a member of a running gang with its agent's report.
void ReconcileMember(EntryState& s,
                     Time now,
                     Gang& gang,
                     GangMember& member,
                     const AgentReport& report) {
  std::size_t listed = 0;
  for (const TaskReport& t : report.tasks) {
    if (t.job != gang.job || t.attempt != gang.attempt) {
      continue;
    }
    ++listed;
    if (t.state == TaskState::kFailed) {
      BeginStopping(s, now, gang, RunEnd::kTaskFailed, report.agent.name,
                    t.reason, false, Duration{0});
      return;
    }
    if (t.state == TaskState::kLapsed || t.state == TaskState::kStopped ||
        t.state == TaskState::kCheckpointed) {
      BeginStopping(s, now, gang, RunEnd::kLost, report.agent.name,
                    "a task ended early: " + t.reason, false, Duration{0});
      return;
    }
    if (t.state == TaskState::kHeld) {
      // The planner was replaced before its commit. Only the process that was
      // given the grant can commit it.
      BeginStopping(s, now, gang, RunEnd::kLost, report.agent.name,
                    "the attempt was never committed", false, Duration{0});
      return;
    }
  }
  if (listed == member.placements.size()) {
    member.seen_in_report = true;
    member.missing_reports = 0;
    RequestMissingAnswers(s, now, gang, member, report);
    return;
  }
  if (now - member.started_at < kReportGrace ||
      ++member.missing_reports < kMissingReportsUntilLost) {
    return;
  }
  BeginStopping(s, now, gang, RunEnd::kLost, report.agent.name,
                "the agent no longer has the task", false, Duration{0});
}

void TickGang(EntryState& s, Time now, Gang& gang) {
  switch (gang.phase) {
    case GangPhase::kPreparing:
    case GangPhase::kRecording:
      if (now >= gang.phase_deadline) {
        std::string unresponsive = "log";
        for (const auto& [worker, member] : gang.members) {
          unresponsive = member.grant_held ? unresponsive : worker;
        }
        AbandonGang(s, now, gang, unresponsive, "no answer in time");
        return;
      }
      if (gang.phase == GangPhase::kPreparing && now >= gang.resend_at) {
        gang.resend_at = now + s.options.resend_interval;
        for (const auto& [worker, member] : gang.members) {
          if (!member.grant_held) {
            SendPrepare(s, gang, worker, member);
          }
        }
      }
      return;
    case GangPhase::kCommitting:
      for (const auto& [worker, member] : gang.members) {
        if (!member.start_confirmed && now >= gang.phase_deadline) {
          BeginStopping(s, now, gang, RunEnd::kLost, worker,
                        "the start was not confirmed in time", false,
                        Duration{0});
          return;
        }
        if (!member.start_confirmed && now >= gang.resend_at) {
          SendCommit(s, gang, worker, member);
        }
      }
      gang.resend_at = now >= gang.resend_at ? now + s.options.resend_interval
                                             : gang.resend_at;
      return;
    case GangPhase::kRunning:
      if (!gang.attempt_recorded && IsLogReadable(s, now)) {
        // The attempt was started while the log was down.
        s.appender.Push(Encode(MakeAttemptRecord(s, gang)));
        gang.attempt_recorded = true;
      }
      for (const auto& [worker, member] : gang.members) {
        const auto agent = s.agents.find(worker);
        const Time last_sign_of_life = std::max(
            agent == s.agents.end() ? Time{0} : agent->second.last_report_at,
            member.started_at);
        const Duration limit =
            member.seen_in_report
                ? s.options.member_timeout
                : std::max(s.options.adopt_timeout, kReportGrace * 3);
        if (now - last_sign_of_life >= limit) {
          BeginStopping(s, now, gang, RunEnd::kLost, worker,
                        "the agent is silent", false, Duration{0});
          return;
        }
      }
      return;
    case GangPhase::kStopping:
      for (auto& [worker, member] : gang.members) {
        if (member.stop_verdict) {
          continue;
        }
        const auto agent = s.agents.find(worker);
        const bool is_silent =
            agent == s.agents.end() ||
            now - agent->second.last_report_at >= s.options.member_timeout;
        if (is_silent) {
          // Its tasks end with their lease, or by the agent's orphan timeout.
          member.stop_verdict = StopVerdict::kUnknown;
        } else if (now >= gang.resend_at) {
          SendStop(s, gang, worker);
        }
      }
      gang.resend_at =
          now >= gang.resend_at ? now + kStopResend : gang.resend_at;
      FinishIfStopped(s, now, gang);
      return;
    case GangPhase::kStoring:
      return;
  }
}

}  // namespace

Planner* FindPlanner(EntryState& s, const std::string& region) {
  const auto it = s.regions.find(region);
  return it == s.regions.end() ? nullptr : it->second.planner.get();
}

void StartAttempt(EntryState& s,
                  Time now,
                  const std::string& region,
                  const StartGang& start) {
  const LoggedJob* const job = s.log.FindJob(start.job);
  Planner* const planner = FindPlanner(s, region);
  if (job == nullptr || !job->IsLive()) {
    planner->DropJob(start.job);
    return;
  }
  s.metrics->Add(Counter::kGangStarts);
  std::int32_t& last = s.last_attempt[start.job];
  last = std::max(last, job->attempt) + 1;
  Gang gang{.job = start.job,
            .region = region,
            .attempt = last,
            .gang_tasks = job->spec->tasks,
            .begun_at = now,
            .phase_deadline = now + s.options.prepare_timeout,
            .resend_at = now + s.options.resend_interval,
            .traceparent = job->traceparent};
  for (const TaskPlacement& p : start.placements) {
    gang.members[p.worker].placements.push_back(p);
  }
  for (auto& [worker, member] : gang.members) {
    const auto agent = s.agents.find(worker);
    if (agent == s.agents.end() || !s.connected_peers.contains(worker)) {
      s.metrics->Add(Counter::kGangStartsFailed);
      planner->OnStartFailed(now, start.job, worker);
      return;
    }
    member.incarnation = agent->second.report.agent.incarnation;
  }
  const Gang& placed = AddGang(s, std::move(gang));
  for (const auto& [worker, member] : placed.members) {
    SendPrepare(s, placed, worker, member);
  }
}

void StopAttempt(EntryState& s, Time now, const StopGang& stop) {
  const auto it = s.gangs.find(stop.job);
  if (it == s.gangs.end()) {
    return;
  }
  Gang& gang = it->second;
  switch (gang.phase) {
    case GangPhase::kPreparing:
    case GangPhase::kRecording:
      AbandonGang(s, now, gang, "",
                  std::string("stopped: ") + ToString(stop.reason));
      return;
    case GangPhase::kCommitting:
    case GangPhase::kRunning:
      BeginStopping(s, now, gang, RunEnd::kStopped, "",
                    std::string("stopped: ") + ToString(stop.reason),
                    stop.checkpoint, stop.checkpoint_timeout);
      return;
    case GangPhase::kStopping:
    case GangPhase::kStoring:
      return;
  }
}

void RecordOutcome(EntryState& s,
                   Time now,
                   const std::string& /*region*/,
                   const EndJob& end) {
  const LoggedJob* const job = s.log.FindJob(end.job);
  if (job == nullptr || !job->IsLive()) {
    DropGang(s, end.job);
    return;
  }
  std::int32_t attempt = job->attempt;
  const auto gang = s.gangs.find(end.job);
  if (gang != s.gangs.end() && !gang->second.attempt_recorded &&
      gang->second.attempt > attempt) {
    // The attempt was started while the log was down, so it is recorded before
    // its outcome.
    s.appender.Push(Encode(MakeAttemptRecord(s, gang->second)));
    gang->second.attempt_recorded = true;
    attempt = gang->second.attempt;
  }
  EndedRecord record{
      .job = end.job, .attempt = attempt, .outcome = end.outcome};
  if (record.outcome.state == JobState::kNotRun &&
      s.waiting_during_outage.contains(end.job)) {
    // During the log outage another planner may have started the job without a
    // record.
    record.outcome.state = JobState::kMayHaveRun;
    record.outcome.reason +=
        "; the log was down meanwhile, so a start cannot be ruled out";
  }
  if (record.outcome.peer.empty()) {
    record.outcome.peer = s.options.membership.self.name;
  }
  AddSpan(s, job->traceparent, end.job, "job.end", "submit.record", now, now,
          {{"state", ToString(record.outcome.state)}});
  s.appender.Push(Encode(record));
  s.pending_outcomes[end.job] = std::move(record);
}

void AdoptGang(EntryState& s,
               Time now,
               const std::string& region,
               const std::string& job,
               std::int32_t attempt,
               const std::vector<AttemptMember>& members,
               bool recorded) {
  const LoggedJob* const logged = s.log.FindJob(job);
  Gang gang{.job = job,
            .region = region,
            .attempt = attempt,
            .gang_tasks = logged->spec->tasks,
            .phase = GangPhase::kRunning,
            .attempt_recorded = recorded,
            .is_adopted = true,
            .begun_at = now,
            .traceparent = logged->traceparent};
  std::vector<TaskPlacement> placements;
  for (const AttemptMember& m : members) {
    gang.members[m.worker] = {.incarnation = m.incarnation,
                              .placements = m.placements,
                              .grant_held = true,
                              .start_confirmed = true,
                              .started_at = now};
    placements.insert(placements.end(), m.placements.begin(),
                      m.placements.end());
  }
  std::sort(placements.begin(), placements.end());
  s.last_attempt[job] = std::max(s.last_attempt[job], attempt);
  FindPlanner(s, region)->AdoptRun(
      now, {.job = job, .spec = *logged->spec, .attempts = attempt},
      placements);
  const Gang& placed = AddGang(s, std::move(gang));
  for (const auto& [worker, member] : placed.members) {
    s.Send(worker, Collect{.job = job,
                           .attempt = attempt,
                           .entry = s.options.membership.self});
  }
}

void OnAttemptRecorded(EntryState& s, Time now, const AttemptRecord& record) {
  Gang* const gang = FindGang(s, record.job, record.attempt);
  if (gang == nullptr) {
    return;
  }
  gang->attempt_recorded = true;
  if (gang->phase == GangPhase::kRecording) {
    AddSpan(s, gang->traceparent, gang->job,
            "gang.record/" + std::to_string(gang->attempt),
            "gang.start/" + std::to_string(gang->attempt), gang->begun_at, now,
            {{"attempt", std::to_string(gang->attempt)}});
    BeginCommit(s, now, *gang);
  }
}

void OnPrepareReply(EntryState& s, Time now, const PrepareReply& m) {
  Gang* const gang = FindGang(s, m.job, m.attempt);
  GangMember* const member =
      gang == nullptr ? nullptr : FindMember(*gang, m.agent.name);
  if (member == nullptr || gang->phase != GangPhase::kPreparing ||
      member->incarnation != m.agent.incarnation) {
    return;
  }
  if (!m.held) {
    AbandonGang(s, now, *gang, m.agent.name, m.reason);
    return;
  }
  member->grant_held = true;
  if (std::all_of(gang->members.begin(), gang->members.end(),
                  [](const auto& n) { return n.second.grant_held; })) {
    OnAllGrantsHeld(s, now, *gang);
  }
}

void OnCommitReply(EntryState& s, Time now, const CommitReply& m) {
  Gang* const gang = FindGang(s, m.job, m.attempt);
  GangMember* const member =
      gang == nullptr ? nullptr : FindMember(*gang, m.agent.name);
  if (member == nullptr || gang->phase != GangPhase::kCommitting ||
      member->incarnation != m.agent.incarnation) {
    return;
  }
  if (!m.started) {
    BeginStopping(s, now, *gang, RunEnd::kLost, m.agent.name,
                  "not started: " + m.reason, false, Duration{0});
    return;
  }
  member->start_confirmed = true;
  member->started_at = now;
  if (!std::all_of(gang->members.begin(), gang->members.end(),
                   [](const auto& n) { return n.second.start_confirmed; })) {
    return;
  }
  gang->phase = GangPhase::kRunning;
  s.metrics->Observe(Latency::kGangStart, ToSeconds(now - gang->begun_at));
  if (const auto it = s.submitted_at.find(gang->job);
      it != s.submitted_at.end()) {
    s.metrics->Observe(Latency::kSubmitToRunning, ToSeconds(now - it->second));
    s.submitted_at.erase(it);
  }
  AddSpan(s, gang->traceparent, gang->job,
          "gang.start/" + std::to_string(gang->attempt), "submit.record",
          gang->begun_at, now,
          {{"members", std::to_string(gang->members.size())}});
  if (Planner* const planner = FindPlanner(s, gang->region)) {
    planner->OnStarted(now, gang->job);
  }
  if (HasAllAnswers(*gang)) {
    FinishRun(s, now, *gang, RunEnd::kSucceeded);
  }
}

void OnStopReply(EntryState& s, Time now, const StopReply& m) {
  Gang* const gang = FindGang(s, m.job, m.attempt);
  GangMember* const member =
      gang == nullptr ? nullptr : FindMember(*gang, m.agent.name);
  if (member == nullptr || gang->phase != GangPhase::kStopping) {
    return;
  }
  const bool same_run = member->incarnation == m.agent.incarnation;
  // Only the agent process run that was asked for the grant can rule out that
  // the attempt was started.
  const bool is_foreign_claim =
      m.verdict == StopVerdict::kNeverStarted && !same_run;
  member->stop_verdict = is_foreign_claim ? StopVerdict::kUnknown : m.verdict;
  FinishIfStopped(s, now, *gang);
}

void OnTaskResult(EntryState& s, Time now, const TaskResult& m) {
  Gang* const gang = FindGang(s, m.job, m.attempt);
  if (gang == nullptr || FindMember(*gang, m.agent.name) == nullptr) {
    s.metrics->Add(Counter::kLatePartsDropped);
    return;
  }
  gang->answers_by_task[m.task] = m.data;
  if (gang->phase == GangPhase::kRunning && HasAllAnswers(*gang)) {
    FinishRun(s, now, *gang, RunEnd::kSucceeded);
  }
}

void ReconcileReport(EntryState& s, Time now, const AgentReport& report) {
  std::set<std::pair<std::string, std::int32_t>> unknown_attempts;
  for (const TaskReport& t : report.tasks) {
    if (FindGang(s, t.job, t.attempt) == nullptr) {
      unknown_attempts.emplace(t.job, t.attempt);
    }
  }
  for (const auto& [id, attempt] : unknown_attempts) {
    const LoggedJob* const job = s.log.FindJob(id);
    // No entry will collect the answers of an ended job or of a superseded
    // attempt.
    const bool over = job != nullptr && (job->ended || attempt < job->attempt);
    if (over && HasFreshConfig(s, now)) {
      s.Send(report.agent.name, Forget{.job = id, .attempt = attempt});
    }
  }
  const std::set<std::string> gang_jobs = s.gangs_by_worker[report.agent.name];
  for (const std::string& id : gang_jobs) {
    Gang& gang = s.gangs.at(id);
    if (gang.phase == GangPhase::kRunning) {
      ReconcileMember(s, now, gang, gang.members.at(report.agent.name), report);
    }
  }
}

void TickGangs(EntryState& s, Time now) {
  std::vector<std::string> ids;
  ids.reserve(s.gangs.size());
  for (const auto& [id, gang] : s.gangs) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const std::string& id : ids) {
    if (const auto it = s.gangs.find(id); it != s.gangs.end()) {
      TickGang(s, now, it->second);
    }
  }
}

void DropGang(EntryState& s, const std::string& job) {
  const auto it = s.gangs.find(job);
  if (it != s.gangs.end()) {
    SendForgetToMembers(s, it->second);
    EraseGang(s, job);
  }
}

void ReleaseGangs(EntryState& s, const std::string& region) {
  std::vector<std::string> released;
  for (const auto& [id, gang] : s.gangs) {
    if (gang.region != region) {
      continue;
    }
    released.push_back(id);
    for (const auto& [worker, member] : gang.members) {
      if (gang.phase <= GangPhase::kRecording) {
        SendStop(s, gang, worker);
      }
    }
  }
  for (const std::string& id : released) {
    EraseGang(s, id);
  }
}

}  // namespace marjoramplank
