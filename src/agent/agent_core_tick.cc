// Timers of AgentCore, and its messages to the entries.

#include <algorithm>
#include <bit>
#include <utility>

#include "src/agent/agent_core.h"

namespace marjoramplank {

void AgentCore::OnTick(Time now) {
  std::vector<AttemptKey> lapsed;
  std::vector<TaskKey> live;
  for (auto& [key, grant] : grants_) {
    if (!grant.is_committed && now >= grant.expires_at) {
      lapsed.push_back(key);
      continue;
    }
    for (const Task& t : grant.tasks) {
      if (t.state == TaskState::kRunning) {
        live.push_back({key.first, key.second, t.placement.task});
      }
    }
    const bool part_of_gang =
        grant.gang_tasks > static_cast<std::int32_t>(grant.tasks.size());
    if (part_of_gang && grant.is_committed &&
        now - last_entry_message_at_ >= options_.orphan_timeout) {
      StopGrant(grant, false, Duration{0});
    }
    if (AllTasksOver(grant) &&
        now - grant.answers_sent_at >= options_.answer_resend_interval) {
      SendAnswers(now, grant);
    }
  }
  for (const AttemptKey& key : lapsed) {
    DropGrant(key);  // Needs a copy of the key: it erases the map entry.
  }
  if (!live.empty() && now - last_renewal_at_ >= options_.renew_interval) {
    last_renewal_at_ = now;
    out_.emplace_back(RenewLeases{.keys = std::move(live)});
  }
  if (tasks_listed_ && now - last_report_at_ >= options_.report_interval) {
    report_due_ = true;
  }
}

void AgentCore::DropGrant(const AttemptKey& key) {
  for (const std::string& entry : grants_.at(key).stop_requesters) {
    out_.emplace_back(SendToEntry{
        .entry = entry,
        .message = StopReply{.agent = options_.id,
                             .job = key.first,
                             .attempt = key.second,
                             .verdict = StopVerdict::kNeverStarted}});
  }
  CloseAttempt(key, StopVerdict::kNeverStarted);
  grants_.erase(key);
  report_due_ = true;
}

void AgentCore::CloseAttempt(const AttemptKey& key, StopVerdict verdict) {
  if (!closed_attempts_.emplace(key, verdict).second) {
    return;
  }
  closed_attempts_order_.push_back(key);
  if (closed_attempts_order_.size() > options_.max_closed_attempts) {
    closed_attempts_.erase(closed_attempts_order_.front());
    closed_attempts_order_.pop_front();
    closed_attempts_evicted_ = true;
  }
}

void AgentCore::SendStopReplies(Grant& grant) {
  for (const std::string& entry : grant.stop_requesters) {
    out_.emplace_back(
        SendToEntry{.entry = entry,
                    .message = StopReply{.agent = options_.id,
                                         .job = grant.job,
                                         .attempt = grant.attempt,
                                         .verdict = StopVerdictOf(grant)}});
  }
  grant.stop_requesters.clear();
}

void AgentCore::SendAnswers(Time now, Grant& grant) {
  if (grant.controller.empty()) {
    return;
  }
  grant.answers_sent_at = now;
  for (const Task& t : grant.tasks) {
    if (t.state == TaskState::kSucceeded) {
      out_.emplace_back(
          SendToEntry{.entry = grant.controller,
                      .message = TaskResult{.agent = options_.id,
                                            .job = grant.job,
                                            .attempt = grant.attempt,
                                            .task = t.placement.task,
                                            .data = t.answer}});
    }
  }
}

void AgentCore::SendReport(Time now) {
  report_due_ = false;
  if (!tasks_listed_) {
    return;
  }
  last_report_at_ = now;
  AgentReport report{.agent = options_.id,
                     .data_centre = options_.data_centre,
                     .sequence = ++report_sequence_,
                     .sent_at = now.count(),
                     .draining = is_leaving_,
                     .config_version = start_guard_.config_version()};
  for (const auto& [key, grant] : grants_) {
    for (const Task& t : grant.tasks) {
      report.tasks.push_back({.job = key.first,
                              .attempt = key.second,
                              .task = t.placement.task,
                              .accelerator_mask = t.placement.accelerator_mask,
                              .state = t.state,
                              .reason = t.reason});
    }
  }
  out_.emplace_back(SendToEntry{.entry = "", .message = std::move(report)});
}

AgentCore::Task* AgentCore::FindTask(const TaskKey& key, Grant** grant) {
  const auto it = grants_.find({key.job, key.attempt});
  if (it == grants_.end()) {
    return nullptr;
  }
  *grant = &it->second;
  for (Task& t : it->second.tasks) {
    if (t.placement.task == key.task) {
      return &t;
    }
  }
  return nullptr;
}

bool AgentCore::AllTasksOver(const Grant& grant) {
  return std::all_of(grant.tasks.begin(), grant.tasks.end(), [](const Task& t) {
    return IsTerminalTaskState(t.state);
  });
}

StopVerdict AgentCore::StopVerdictOf(const Grant& grant) {
  const auto all = [&](TaskState s) {
    return std::all_of(grant.tasks.begin(), grant.tasks.end(),
                       [&](const Task& t) { return t.state == s; });
  };
  const auto any = [&](TaskState s) {
    return std::any_of(grant.tasks.begin(), grant.tasks.end(),
                       [&](const Task& t) { return t.state == s; });
  };
  if (any(TaskState::kFailed)) {
    return StopVerdict::kFailed;
  }
  if (all(TaskState::kSucceeded)) {
    return StopVerdict::kSucceeded;
  }
  // A gang can only be resumed if all its tasks have saved a checkpoint.
  return all(TaskState::kCheckpointed) ? StopVerdict::kCheckpointed
                                       : StopVerdict::kStopped;
}

}  // namespace marjoramplank
