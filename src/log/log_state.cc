#include "src/log/log_state.h"

#include "src/codec/job_codec.h"

namespace marjoramplank {

ApplyResult LogState::Apply(Offset offset, const LogRecord& record) {
  if (offset <= position_) {
    return {.offset = offset, .verdict = Verdict::kRepeated};
  }
  position_ = offset;
  const Verdict verdict = std::visit(
      Overloaded{[&](const AcceptedRecord& r) { return ApplyAccepted(r); },
                 [&](const CancelRecord& r) { return ApplyCancel(r); },
                 [&](const AttemptRecord& r) { return ApplyAttempt(r); },
                 [&](const EndedRecord& r) { return ApplyEnded(offset, r); },
                 [&](const ConfigRecord& r) { return ApplyConfig(offset, r); },
                 [&](const MemberRecord& r) { return ApplyMember(r); },
                 // A snapshot only repeats the records before it, which have
                 // been applied already.
                 [](const SnapshotRecord&) { return Verdict::kRepeated; }},
      record);
  return {.offset = offset, .verdict = verdict};
}

const LoggedJob* LogState::FindJob(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::int32_t LogState::WaitingJobs(const std::string& account) const {
  const auto it = waiting_jobs_by_account_.find(account);
  return it == waiting_jobs_by_account_.end() ? 0 : it->second;
}

void LogState::AddWaitingJobs(const std::string& account, std::int32_t change) {
  total_waiting_jobs_ += change;
  if ((waiting_jobs_by_account_[account] += change) == 0) {
    waiting_jobs_by_account_.erase(account);
  }
}

Verdict LogState::ApplyAccepted(const AcceptedRecord& r) {
  const std::string digest = ComputeJobDigest(r.spec);
  const auto it = jobs_.find(r.job);
  if (it != jobs_.end()) {
    if (it->second.withdrawn) {
      return Verdict::kVoid;
    }
    return it->second.digest == digest ? Verdict::kRepeated
                                       : Verdict::kConflict;
  }
  jobs_[r.job] = {.spec = std::make_shared<const JobSpec>(r.spec),
                  .account = r.spec.account,
                  .request_id = r.spec.request_id,
                  .digest = digest,
                  .region = r.region,
                  .traceparent = r.traceparent};
  AddWaitingJobs(r.spec.account, 1);
  return Verdict::kApplied;
}

Verdict LogState::ApplyCancel(const CancelRecord& r) {
  const auto it = jobs_.find(r.job);
  if (it == jobs_.end()) {
    jobs_[r.job] = {
        .withdrawn = true, .ended = true, .end_state = JobState::kNotRun};
    RememberEndedJob(r.job);
    return Verdict::kApplied;
  }
  if (it->second.ended) {
    return Verdict::kVoid;
  }
  const bool first = !it->second.cancelled;
  it->second.cancelled = true;
  return first ? Verdict::kApplied : Verdict::kRepeated;
}

Verdict LogState::ApplyAttempt(const AttemptRecord& r) {
  const auto it = jobs_.find(r.job);
  if (it == jobs_.end() || !it->second.IsLive()) {
    return Verdict::kVoid;
  }
  LoggedJob& job = it->second;
  if (job.latest_attempt && job.latest_attempt->attempt == r.attempt) {
    return *job.latest_attempt == r ? Verdict::kRepeated : Verdict::kConflict;
  }
  if (r.attempt <= job.attempt || job.cancelled) {
    return Verdict::kVoid;
  }
  if (job.attempt == 0) {
    AddWaitingJobs(job.account, -1);
  }
  job.attempt = r.attempt;
  job.latest_attempt = r;
  return Verdict::kApplied;
}

Verdict LogState::ApplyEnded(Offset offset, const EndedRecord& r) {
  const auto it = jobs_.find(r.job);
  if (it == jobs_.end() || it->second.ended) {
    return Verdict::kVoid;
  }
  LoggedJob& job = it->second;
  if (r.attempt != job.attempt) {
    // Written by a planner that did not know the latest attempt.
    return Verdict::kVoid;
  }
  if (r.outcome.state == JobState::kNotRun && job.attempt > 0) {
    // An attempt is on the log, so the job may have run.
    return Verdict::kVoid;
  }
  if (job.attempt == 0) {
    AddWaitingJobs(job.account, -1);
  }
  job.ended = true;
  job.end_state = r.outcome.state;
  job.outcome_offset = offset;
  job.spec = nullptr;
  job.latest_attempt.reset();
  RememberEndedJob(r.job);
  return Verdict::kApplied;
}

Verdict LogState::ApplyConfig(Offset offset, const ConfigRecord& r) {
  if (r.change_id == config_.change_id && config_.version != kNoOffset) {
    return Verdict::kRepeated;
  }
  for (const ConfigVersion& old : history_) {
    if (old.change_id == r.change_id) {
      return Verdict::kRepeated;
    }
  }
  if (r.base != config_.version) {
    return Verdict::kConflict;
  }
  config_ = {.version = offset,
             .change_id = r.change_id,
             .author = r.author,
             .document = std::make_shared<const std::string>(r.document)};
  history_.push_back(config_);
  if (history_.size() > options_.max_config_versions) {
    history_.pop_front();
  }
  // Older versions keep their number, change id and author, but no document.
  constexpr std::size_t kDocumentsKept = 2;
  if (history_.size() > kDocumentsKept) {
    history_[history_.size() - kDocumentsKept - 1].document = nullptr;
  }
  return Verdict::kApplied;
}

Verdict LogState::ApplyMember(const MemberRecord& r) {
  const auto it = members_.find(r.name);
  if (r.joined) {
    if (it != members_.end() && it->second == r) {
      return Verdict::kRepeated;
    }
    members_[r.name] = r;
    return Verdict::kApplied;
  }
  if (it == members_.end() || it->second.incarnation != r.incarnation) {
    return Verdict::kVoid;
  }
  members_.erase(it);
  return Verdict::kApplied;
}

void LogState::RememberEndedJob(const std::string& ended_job) {
  ended_jobs_order_.push_back(ended_job);
  while (ended_jobs_order_.size() > options_.max_ended_jobs) {
    jobs_.erase(ended_jobs_order_.front());
    ended_jobs_order_.pop_front();
  }
}

}  // namespace marjoramplank
