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
                      .checkpoint = gang.checkpoint,
                      .bound = gang.bound});
}

void ForgetAtMembers(EntryState& s, const Gang& gang) {
  for (const auto& [worker, member] : gang.members) {
    s.Send(worker, Forget{.job = gang.job, .attempt = gang.attempt});
  }
}

Gang& PlaceGang(EntryState& s, Gang gang) {
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

// Gives an attempt up before anything was committed: nothing of it has started,
// and every grant is dropped.
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
          gang.begun, now,
          {{"outcome", "abandoned"}, {"peer", worker}, {"reason", reason}});
  Planner* const planner = PlannerOf(s, gang.region);
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
                   Duration bound) {
  if (gang.phase == GangPhase::kStopping) {
    return;
  }
  gang.phase = GangPhase::kStopping;
  for (auto& [name, member] : gang.members) {
    member.verdict.reset();
  }
  gang.cause = cause;
  gang.cause_worker = worker;
  gang.cause_reason = reason;
  gang.checkpoint = checkpoint;
  gang.bound = bound;
  gang.resend = now + kStopResend;
  if (cause == RunEnd::kLost) {
    s.metrics->Add(Counter::kGangsLost);
  }
  for (const auto& [name, member] : gang.members) {
    SendStop(s, gang, name);
  }
}

AttemptRecord RecordOf(const EntryState& s, const Gang& gang) {
  AttemptRecord out{
      .job = gang.job, .attempt = gang.attempt, .entry = s.SelfId()};
  for (const auto& [worker, member] : gang.members) {
    out.members.push_back({.worker = worker,
                           .incarnation = member.incarnation,
                           .placements = member.placements});
  }
  return out;
}

void CommitAll(EntryState& s, Time now, Gang& gang) {
  gang.phase = GangPhase::kCommitting;
  gang.deadline = now + s.options.commit_timeout;
  gang.resend = now + s.options.resend_interval;
  for (const auto& [worker, member] : gang.members) {
    SendCommit(s, gang, worker, member);
  }
}

void OnAllHeld(EntryState& s, Time now, Gang& gang) {
  const LoggedJob* const job = s.log.FindJob(gang.job);
  if (SeesLog(s, now)) {
    gang.phase = GangPhase::kRecording;
    // Half of the grant's life is left for the commit to arrive.
    gang.deadline = gang.begun + s.options.grant_ttl / 2;
    s.appender.Push(Encode(RecordOf(s, gang)));
    return;
  }
  if (job->spec->idempotent && IsFresh(s, now)) {
    CommitAll(s, now, gang);  // Recorded when the log is back.
    return;
  }
  AbandonGang(s, now, gang, "log", "the attempt cannot be recorded");
}

bool AllParts(const Gang& gang) {
  return gang.parts.size() == static_cast<std::size_t>(gang.gang_tasks);
}

// Hands the end of a run to the planner. Its decision follows from Plan().
void FinishRun(EntryState& s, Time now, Gang& gang, RunEnd end) {
  Planner* const planner = PlannerOf(s, gang.region);
  RunResult result{
      .end = end, .worker = gang.cause_worker, .reason = gang.cause_reason};
  for (auto& [task, data] : gang.parts) {
    result.parts.push_back(data);
  }
  AddSpan(s, gang.traceparent, gang.job,
          "gang.run/" + std::to_string(gang.attempt),
          "gang.start/" + std::to_string(gang.attempt), gang.begun, now,
          {{"end", std::to_string(static_cast<int>(end))},
           {"peer", gang.cause_worker}});
  const std::string job = gang.job;
  if (end == RunEnd::kSucceeded) {
    gang.phase = GangPhase::kStoring;  // The members keep the answers until the
                                       // outcome is stored.
  } else {
    ForgetAtMembers(s, gang);
    EraseGang(s, job);
  }
  if (planner != nullptr) {
    planner->OnEnded(now, job, result);
  }
}

void CheckStopped(EntryState& s, Time now, Gang& gang) {
  const bool all =
      std::all_of(gang.members.begin(), gang.members.end(),
                  [](const auto& m) { return m.second.verdict.has_value(); });
  if (!all) {
    return;
  }
  const std::optional<RunEnd> end = EndOfStoppedGang(gang);
  if (end) {
    FinishRun(s, now, gang, *end);
    return;
  }
  if (gang.collected && !AllParts(gang)) {
    // Its members succeeded, but an answer is gone: another planner has had it
    // forgotten. The run counts as lost.
    gang.cause_reason = "the answer of a task is gone";
    FinishRun(s, now, gang, RunEnd::kLost);
    return;
  }
  gang.collected = true;
  // Every member had succeeded before the stop reached it: the run counts, and
  // its answers are collected.
  gang.phase = GangPhase::kRunning;
  if (AllParts(gang)) {
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
