#include "src/agent/agent_core.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace marjoramplank {

AgentCore::AgentCore(AgentOptions options)
    : options_(std::move(options)), start_guard_(options_.freshness_window) {}

std::vector<AgentOutput> AgentCore::Step(Time now, const AgentInput& input) {
  std::visit(
      Overloaded{
          [&](const EntryMessage& i) { OnMessage(now, i.entry, i.message); },
          [&](const EntryDisconnected&) {},
          [&](const EntryConnected&) { report_due_ = true; },
          [&](const StartResult& i) { OnStartResult(now, i); },
          [&](const TaskEnded& i) { OnTaskEnded(now, i); },
          [&](const WorkerTasksListed& i) { OnWorkerListed(now, i); },
          [&](const WorkerLeaving& i) {
            report_due_ = report_due_ || is_leaving_ != i.leaving;
            is_leaving_ = i.leaving;
          },
          [&](const Tick&) { OnTick(now); }},
      input);
  if (report_due_) {
    SendReport(now);
  }
  return std::exchange(out_, {});
}

std::size_t AgentCore::active_tasks() const {
  std::size_t n = 0;
  for (const auto& [key, grant] : grants_) {
    n += static_cast<std::size_t>(std::count_if(
        grant.tasks.begin(), grant.tasks.end(), [](const Task& t) {
          return t.state == TaskState::kStarting ||
                 t.state == TaskState::kRunning;
        }));
  }
  return n;
}

void AgentCore::OnMessage(Time now,
                          const std::string& from,
                          const Message& message) {
  last_entry_message_at_ = now;
  std::visit(Overloaded{[&](const EntryHeartbeat& m) {
                          start_guard_.OnEntryHeartbeat(m);
                        },
                        [&](const Prepare& m) { OnPrepare(now, from, m); },
                        [&](const Commit& m) { OnCommit(now, from, m); },
                        [&](const Stop& m) { OnStop(now, from, m); },
                        [&](const Collect& m) { OnCollect(now, from, m); },
                        [&](const Forget& m) { OnForget(m); },
                        [](const auto&) {}},  // Messages to entries.
             message);
}

bool AgentCore::HasCapacity(const Prepare& m) const {
  std::int64_t cores =
      std::int64_t{m.shape.cores} * static_cast<std::int64_t>(m.tasks.size());
  std::int64_t memory_mb = std::int64_t{m.shape.memory_mb} *
                           static_cast<std::int64_t>(m.tasks.size());
  std::size_t slots = m.tasks.size();
  std::uint32_t mask = 0;
  for (const TaskPlacement& p : m.tasks) {
    if ((mask & p.accelerator_mask) != 0 ||
        std::popcount(p.accelerator_mask) != m.shape.accelerators) {
      return false;
    }
    mask |= p.accelerator_mask;
  }
  for (const auto& [key, grant] : grants_) {
    for (const Task& t : grant.tasks) {
      if (IsTerminalTaskState(t.state)) {
        continue;
      }
      if ((t.placement.accelerator_mask & mask) != 0) {
        return false;
      }
      cores += grant.shape.cores;
      memory_mb += grant.shape.memory_mb;
      ++slots;
    }
  }
  const std::uint32_t all = (1U << options_.accelerators) - 1;
  return (mask & ~all) == 0 && cores <= options_.cores &&
         memory_mb <= options_.memory_mb &&
         slots <= static_cast<std::size_t>(options_.slots);
}

std::string AgentCore::PrepareRefusalReason(Time now, const Prepare& m) const {
  if (m.agent_incarnation != options_.id.incarnation) {
    return "addressed to another run of this agent";
  }
  if (!tasks_listed_) {
    return "the worker's tasks are not known yet";
  }
  if (is_leaving_) {
    return "the endpoint is leaving";
  }
  if (std::string refusal = start_guard_.RefusalReason(now); !refusal.empty()) {
    return refusal;
  }
  if (closed_attempts_.contains({m.job, m.attempt})) {
    return "the attempt is closed";
  }
  for (const auto& [key, grant] : grants_) {
    if (key.first == m.job && key.second != m.attempt && !AllTasksOver(grant)) {
      return "another attempt of the job is still here";
    }
  }
  return HasCapacity(m) ? std::string{} : "the resources are granted to others";
}

void AgentCore::OnPrepare(Time now, const std::string& from, const Prepare& m) {
  PrepareReply reply{.agent = options_.id, .job = m.job, .attempt = m.attempt};
  const auto it = grants_.find({m.job, m.attempt});
  if (it != grants_.end()) {
    reply.held =
        it->second.granted_by == ToString(m.entry) && !it->second.is_stopping;
    reply.reason = reply.held ? "" : "granted to another entry";
    out_.emplace_back(SendToEntry{.entry = from, .message = reply});
    return;
  }
  reply.reason = PrepareRefusalReason(now, m);
  reply.held = reply.reason.empty();
  if (reply.held) {
    Grant grant{.job = m.job,
                .attempt = m.attempt,
                .granted_by = ToString(m.entry),
                .controller = from,
                .shape = m.shape,
                .tasks = {},
                .gang_tasks = m.gang_tasks,
                .payload = m.payload,
                .traceparent = m.traceparent,
                .expires_at = now + m.ttl};
    for (const TaskPlacement& p : m.tasks) {
      grant.tasks.push_back({.placement = p});
    }
    grants_.emplace(AttemptKey{m.job, m.attempt}, std::move(grant));
  }
  out_.emplace_back(SendToEntry{.entry = from, .message = reply});
}

void AgentCore::SendCommitReply(Grant& grant,
                                bool started,
                                const std::string& reason) {
  grant.commit_reply_sent = started;
  out_.emplace_back(SendToEntry{.entry = grant.controller,
                                .message = CommitReply{.agent = options_.id,
                                                       .job = grant.job,
                                                       .attempt = grant.attempt,
                                                       .started = started,
                                                       .reason = reason}});
}

void AgentCore::OnCommit(Time now, const std::string& from, const Commit& m) {
  const AttemptKey key{m.job, m.attempt};
  const auto it = grants_.find(key);
  if (it == grants_.end() || it->second.granted_by != ToString(m.entry) ||
      m.agent_incarnation != options_.id.incarnation) {
    if (it == grants_.end() && m.agent_incarnation == options_.id.incarnation &&
        !closed_attempts_.contains(key)) {
      CloseAttempt(key, StopVerdict::kNeverStarted);
    }
    out_.emplace_back(
        SendToEntry{.entry = from,
                    .message = CommitReply{.agent = options_.id,
                                           .job = m.job,
                                           .attempt = m.attempt,
                                           .started = false,
                                           .reason = "no such grant"}});
    return;
  }
  Grant& grant = it->second;
  grant.controller = from;
  if (grant.is_committed) {
    if (grant.commit_reply_sent) {
      SendCommitReply(grant, true, "");
    }
    return;
  }
  const std::string refusal = now >= grant.expires_at ? "the grant has lapsed"
                              : is_leaving_ ? "the endpoint is leaving"
                                            : start_guard_.RefusalReason(now);
  if (!refusal.empty()) {
    SendCommitReply(grant, false, refusal);
    DropGrant(key);
    return;
  }
  grant.is_committed = true;
  grant.expires_at = kNever;
  for (Task& t : grant.tasks) {
    t.state = TaskState::kStarting;
    out_.emplace_back(
        StartTask{.key = {m.job, m.attempt, t.placement.task},
                  .gang_tasks = grant.gang_tasks,
                  .accelerator_mask = t.placement.accelerator_mask,
                  .shape = grant.shape,
                  .payload = grant.payload,
                  .traceparent = grant.traceparent});
  }
  report_due_ = true;
}

void AgentCore::OnStartResult(Time now, const StartResult& r) {
  Grant* grant = nullptr;
  Task* const task = FindTask(r.key, &grant);
  if (task == nullptr || task->state != TaskState::kStarting) {
    return;
  }
  report_due_ = true;
  task->state = r.accepted ? TaskState::kRunning : TaskState::kFailed;
  task->reason = r.reason;
  const auto starting = [](const Task& t) {
    return t.state == TaskState::kStarting;
  };
  if (std::any_of(grant->tasks.begin(), grant->tasks.end(), starting) ||
      grant->commit_reply_sent) {
    return;
  }
  const auto refused = [](const Task& t) {
    return t.state == TaskState::kFailed;
  };
  if (std::all_of(grant->tasks.begin(), grant->tasks.end(), refused)) {
    // No task ran: an ordinary refusal, after which the job may be placed
    // elsewhere.
    SendCommitReply(*grant, false, "refused by the endpoint: " + r.reason);
    DropGrant({r.key.job, r.key.attempt});
    return;
  }
  SendCommitReply(*grant, true, "");
  if (AllTasksOver(*grant)) {
    SendStopReplies(*grant);
    SendAnswers(now, *grant);
  }
}

void AgentCore::StopGrant(Grant& grant,
                          bool checkpoint,
                          Duration checkpoint_timeout) {
  // A repeated request may only escalate: from a checkpoint to an immediate
  // stop.
  if (grant.is_stopping && (checkpoint || !grant.is_checkpointing)) {
    return;
  }
  grant.is_stopping = true;
  grant.is_checkpointing = checkpoint;
  for (const Task& t : grant.tasks) {
    if (!IsTerminalTaskState(t.state)) {
      out_.emplace_back(
          StopTask{.key = {grant.job, grant.attempt, t.placement.task},
                   .checkpoint = checkpoint,
                   .bound = checkpoint_timeout});
    }
  }
}

void AgentCore::OnStop(Time /*now*/, const std::string& from, const Stop& m) {
  const AttemptKey key{m.job, m.attempt};
  StopReply reply{.agent = options_.id, .job = m.job, .attempt = m.attempt};
  const auto it = grants_.find(key);
  if (it == grants_.end()) {
    const auto closed = closed_attempts_.find(key);
    if (closed != closed_attempts_.end()) {
      reply.verdict = closed->second;
    } else if (tasks_listed_ && !closed_attempts_evicted_) {
      // This process run has never granted the attempt. Closing it rules out a
      // later start.
      reply.verdict = StopVerdict::kNeverStarted;
      CloseAttempt(key, reply.verdict);
    } else {
      reply.verdict = StopVerdict::kUnknown;
    }
    if (tasks_listed_) {
      out_.emplace_back(SendToEntry{.entry = from, .message = reply});
    }
    return;
  }
  Grant& grant = it->second;
  if (!grant.is_committed) {
    reply.verdict = StopVerdict::kNeverStarted;
    DropGrant(key);
    out_.emplace_back(SendToEntry{.entry = from, .message = reply});
    return;
  }
  grant.stop_requesters.insert(from);
  StopGrant(grant, m.checkpoint, m.checkpoint_timeout);
  if (AllTasksOver(grant)) {
    SendStopReplies(grant);
  }
}

void AgentCore::OnCollect(Time now, const std::string& from, const Collect& m) {
  const auto it = grants_.find({m.job, m.attempt});
  if (it != grants_.end()) {
    it->second.controller = from;
    SendAnswers(now, it->second);
  }
}

void AgentCore::OnForget(const Forget& m) {
  const AttemptKey key{m.job, m.attempt};
  const auto it = grants_.find(key);
  if (it == grants_.end()) {
    return;
  }
  if (!AllTasksOver(it->second)) {
    // The outcome is decided while tasks still run here. Their answers will not
    // be collected.
    StopGrant(it->second, false, Duration{0});
    return;
  }
  for (const Task& t : it->second.tasks) {
    out_.emplace_back(RemoveTask{.key = {m.job, m.attempt, t.placement.task}});
  }
  CloseAttempt(key, StopVerdictOf(it->second));
  grants_.erase(it);
  report_due_ = true;
}

void AgentCore::OnTaskEnded(Time now, const TaskEnded& e) {
  Grant* grant = nullptr;
  Task* const task = FindTask(e.key, &grant);
  if (task == nullptr || IsTerminalTaskState(task->state)) {
    return;
  }
  task->state = e.state;
  task->answer = e.answer;
  task->reason = e.reason;
  if (task->answer.size() > kMaxTaskResultBytes) {
    task->state = TaskState::kFailed;
    task->reason = "the answer has " + std::to_string(task->answer.size()) +
                   " bytes, more than " + std::to_string(kMaxTaskResultBytes);
    task->answer.clear();
  }
  report_due_ = true;
  if (AllTasksOver(*grant)) {
    SendStopReplies(*grant);
  }
  SendAnswers(now, *grant);
}

void AgentCore::OnWorkerListed(Time now, const WorkerTasksListed& listed) {
  if (tasks_listed_) {
    return;
  }
  tasks_listed_ = true;
  report_due_ = true;
  last_entry_message_at_ = now;
  for (const FoundTask& found : listed.tasks) {
    Grant& grant = grants_[{found.key.job, found.key.attempt}];
    grant.job = found.key.job;
    grant.attempt = found.key.attempt;
    grant.shape = found.shape;
    grant.gang_tasks = found.gang_tasks;
    grant.is_committed = true;
    grant.commit_reply_sent = true;
    grant.tasks.push_back(
        {.placement = {.task = found.key.task,
                       .worker = options_.id.name,
                       .accelerator_mask = found.accelerator_mask},
         .state = found.state,
         .answer = found.answer,
         .reason = found.reason});
  }
}

}  // namespace marjoramplank
