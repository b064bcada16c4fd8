#include "src/entry/gang_steps.h"

#include <algorithm>
#include <utility>

#include "src/entry/gangs.h"
#include "src/entry/spans.h"

namespace marjoramplank {

void SendPrepare(EntryState& s,
                 const Gang& gang,
                 const std::string& worker,
                 const GangMember& member) {
  const LoggedJob* const job = s.log.FindJob(gang.job);
  s.Send(worker, Prepare{.job = gang.job,
                         .attempt = gang.attempt,
                         .entry = s.options.membership.self,
                         .agent_incarnation = member.incarnation,
                         .shape = job->spec->shape,
                         .tasks = member.placements,
                         .gang_tasks = gang.gang_tasks,
                         .payload = job->spec->payload,
                         .ttl = s.options.grant_ttl,
                         .traceparent = gang.traceparent});
}

void SendCommit(EntryState& s,
                const Gang& gang,
                const std::string& worker,
                const GangMember& member) {
  s.Send(worker, Commit{.job = gang.job,
                        .attempt = gang.attempt,
                        .entry = s.options.membership.self,
                        .agent_incarnation = member.incarnation});
}

void SendStop(EntryState& s, const Gang& gang, const std::string& worker) {
  s.Send(worker, Stop{.job = gang.job,
                      .attempt = gang.attempt,
                      .checkpoint = gang.stop_with_checkpoint,
                      .checkpoint_timeout = gang.checkpoint_timeout});
}

void SendForgetToMembers(EntryState& s, const Gang& gang) {
  for (const auto& [worker, member] : gang.members) {
    s.Send(worker, Forget{.job = gang.job, .attempt = gang.attempt});
  }
}

Gang& AddGang(EntryState& s, Gang gang) {
  for (const auto& [worker, member] : gang.members) {
    s.gangs_by_worker[worker].insert(gang.job);
  }
  Gang& placed = s.gangs[gang.job];
  placed = std::move(gang);
  return placed;
}

void EraseGang(EntryState& s, const std::string& job) {
  const auto it = s.gangs.find(job);
  for (const auto& [worker, member] : it->second.members) {
    s.gangs_by_worker[worker].erase(job);
  }
  s.gangs.erase(it);
}

void AbandonGang(EntryState& s,
                 Time now,
                 Gang& gang,
                 const std::string& worker,
                 const std::string& reason) {
  s.metrics->Add(Counter::kGangStartsFailed);
  for (const auto& [name, member] : gang.members) {
    SendStop(s, gang, name);
  }
  AddSpan(s, gang.traceparent, gang.job,
          "gang.start/" + std::to_string(gang.attempt), "submit.record",
          gang.begun_at, now,
          {{"outcome", "abandoned"}, {"peer", worker}, {"reason", reason}});
  Planner* const planner = FindPlanner(s, gang.region);
  const std::string job = gang.job;
  EraseGang(s, job);
  if (planner != nullptr) {
    planner->OnStartFailed(now, job, worker);
  }
}

void BeginStopping(EntryState& s,
                   Time now,
                   Gang& gang,
                   RunEnd cause,
                   const std::string& worker,
                   const std::string& reason,
                   bool checkpoint,
                   Duration checkpoint_timeout) {
  if (gang.phase == GangPhase::kStopping) {
    return;
  }
  gang.phase = GangPhase::kStopping;
  for (auto& [name, member] : gang.members) {
    member.stop_verdict.reset();
  }
  gang.stop_cause = cause;
  gang.stop_cause_worker = worker;
  gang.stop_cause_reason = reason;
  gang.stop_with_checkpoint = checkpoint;
  gang.checkpoint_timeout = checkpoint_timeout;
  gang.resend_at = now + kStopResend;
  if (cause == RunEnd::kLost) {
    s.metrics->Add(Counter::kGangsLost);
  }
  for (const auto& [name, member] : gang.members) {
    SendStop(s, gang, name);
  }
}

AttemptRecord MakeAttemptRecord(const EntryState& s, const Gang& gang) {
  AttemptRecord out{
      .job = gang.job, .attempt = gang.attempt, .entry = s.SelfId()};
  for (const auto& [worker, member] : gang.members) {
    out.members.push_back({.worker = worker,
                           .incarnation = member.incarnation,
                           .placements = member.placements});
  }
  return out;
}

void BeginCommit(EntryState& s, Time now, Gang& gang) {
  gang.phase = GangPhase::kCommitting;
  gang.phase_deadline = now + s.options.commit_timeout;
  gang.resend_at = now + s.options.resend_interval;
  for (const auto& [worker, member] : gang.members) {
    SendCommit(s, gang, worker, member);
  }
}

void OnAllGrantsHeld(EntryState& s, Time now, Gang& gang) {
  const LoggedJob* const job = s.log.FindJob(gang.job);
  if (IsLogReadable(s, now)) {
    gang.phase = GangPhase::kRecording;
    // Leaves half of the grants' lifetime for the commit to arrive.
    gang.phase_deadline = gang.begun_at + s.options.grant_ttl / 2;
    s.appender.Push(Encode(MakeAttemptRecord(s, gang)));
    return;
  }
  if (job->spec->idempotent && HasFreshConfig(s, now)) {
    BeginCommit(s, now, gang);  // TickGangs() records it once the log is back.
    return;
  }
  AbandonGang(s, now, gang, "log", "the attempt cannot be recorded");
}

bool HasAllAnswers(const Gang& gang) {
  return gang.answers_by_task.size() ==
         static_cast<std::size_t>(gang.gang_tasks);
}

void FinishRun(EntryState& s, Time now, Gang& gang, RunEnd end) {
  Planner* const planner = FindPlanner(s, gang.region);
  RunResult result{.end = end,
                   .failed_worker = gang.stop_cause_worker,
                   .reason = gang.stop_cause_reason};
  for (auto& [task, data] : gang.answers_by_task) {
    result.parts.push_back(data);
  }
  AddSpan(s, gang.traceparent, gang.job,
          "gang.run/" + std::to_string(gang.attempt),
          "gang.start/" + std::to_string(gang.attempt), gang.begun_at, now,
          {{"end", std::to_string(static_cast<int>(end))},
           {"peer", gang.stop_cause_worker}});
  const std::string job = gang.job;
  if (end == RunEnd::kSucceeded) {
    // The members keep the answers until the outcome is on the log.
    gang.phase = GangPhase::kStoring;
  } else {
    SendForgetToMembers(s, gang);
    EraseGang(s, job);
  }
  if (planner != nullptr) {
    planner->OnEnded(now, job, result);
  }
}

void FinishIfStopped(EntryState& s, Time now, Gang& gang) {
  const bool all = std::all_of(
      gang.members.begin(), gang.members.end(),
      [](const auto& m) { return m.second.stop_verdict.has_value(); });
  if (!all) {
    return;
  }
  const std::optional<RunEnd> end = RunEndFromVerdicts(gang);
  if (end) {
    FinishRun(s, now, gang, *end);
    return;
  }
  if (gang.answers_requested && !HasAllAnswers(gang)) {
    // The members succeeded, but an answer is gone: a Forget message of another
    // planner has deleted it. The run counts as lost.
    gang.stop_cause_reason = "the answer of a task is gone";
    FinishRun(s, now, gang, RunEnd::kLost);
    return;
  }
  gang.answers_requested = true;
  // All members had succeeded before the stop reached them: the run is a
  // success, and its answers are collected.
  gang.phase = GangPhase::kRunning;
  if (HasAllAnswers(gang)) {
    FinishRun(s, now, gang, RunEnd::kSucceeded);
    return;
  }
  for (const auto& [worker, member] : gang.members) {
    s.Send(worker, Collect{.job = gang.job,
                           .attempt = gang.attempt,
                           .entry = s.options.membership.self});
  }
}

}  // namespace marjoramplank
