// What time alone decides, and what the agent tells the entries.

#include <algorithm>
#include <bit>
#include <utility>

#include "src/agent/agent_core.h"

namespace marjoramplank {

void AgentCore::OnTick(Time now) {
  std::vector<AttemptKey> lapsed;
  std::vector<TaskKey> live;
  for (auto& [key, grant] : grants_) {
    if (!grant.committed && now >= grant.expires) {
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
    if (part_of_gang && grant.committed &&
        now - last_heard_ >= options_.orphan_timeout) {
      StopGrant(grant, false, Duration{0});
    }
    if (AllOver(grant) && now - grant.answer_sent >= options_.answer_resend) {
      SendAnswers(now, grant);
    }
  }
  for (const AttemptKey& key : lapsed) {
    DropHeld(key);  // The key is a copy: the entry it came from is erased.
  }
  if (!live.empty() && now - last_renewal_ >= options_.renew_interval) {
    last_renewal_ = now;
    out_.emplace_back(RenewLeases{.keys = std::move(live)});
  }
  if (listed_ && now - last_report_ >= options_.report_interval) {
    changed_ = true;
  }
}

void AgentCore::DropHeld(const AttemptKey& key) {
  for (const std::string& entry : grants_.at(key).stop_waiters) {
    out_.emplace_back(SendToEntry{
        .entry = entry,
        .message = StopReply{.agent = options_.id,
                             .job = key.first,
                             .attempt = key.second,
                             .verdict = StopVerdict::kNeverStarted}});
  }
  Close(key, StopVerdict::kNeverStarted);
  grants_.erase(key);
  changed_ = true;
}

void AgentCore::Close(const AttemptKey& key, StopVerdict verdict) {
  if (!closed_.emplace(key, verdict).second) {
    return;
  }
  closed_order_.push_back(key);
  if (closed_order_.size() > options_.closed_kept) {
    closed_.erase(closed_order_.front());
    closed_order_.pop_front();
    forgot_closed_ = true;
  }
}

void AgentCore::AnswerStops(Grant& grant) {
  for (const std::string& entry : grant.stop_waiters) {
    out_.emplace_back(
        SendToEntry{.entry = entry,
                    .message = StopReply{.agent = options_.id,
                                         .job = grant.job,
                                         .attempt = grant.attempt,
                                         .verdict = VerdictOf(grant)}});
  }
  grant.stop_waiters.clear();
}

void AgentCore::SendAnswers(Time now, Grant& grant) {
  if (grant.controller.empty()) {
    return;
  }
  grant.answer_sent = now;
  for (const Task& t : grant.tasks) {
    if (t.state == TaskState::kSucceeded) {
      out_.emplace_back(
          SendToEntry{.entry = grant.controller,
                      .message = AnswerPart{.agent = options_.id,
                                            .job = grant.job,
                                            .attempt = grant.attempt,
                                            .task = t.placement.task,
                                            .data = t.answer}});
    }
  }
}

void AgentCore::Report(Time now) {
  changed_ = false;
  if (!listed_) {
    return;
  }
  last_report_ = now;
  AgentReport report{.agent = options_.id,
                     .data_centre = options_.data_centre,
                     .sequence = ++sequence_,
                     .sent_at = now.count(),
                     .leaving = leaving_,
                     .config_version = guard_.config_version()};
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

bool AgentCore::AllOver(const Grant& grant) {
  return std::all_of(grant.tasks.begin(), grant.tasks.end(),
                     [](const Task& t) { return IsOver(t.state); });
}

StopVerdict AgentCore::VerdictOf(const Grant& grant) {
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
  // A gang of which only a part saved its progress cannot be resumed as a
  // whole.
  return all(TaskState::kCheckpointed) ? StopVerdict::kCheckpointed
                                       : StopVerdict::kStopped;
}

}  // namespace marjoramplank
