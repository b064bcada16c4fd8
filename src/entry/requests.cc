#include "src/entry/requests.h"

#include <algorithm>
#include <utility>

#include "src/codec/job_codec.h"
#include "src/entry/queries.h"
#include "src/entry/regions.h"
#include "src/entry/replies.h"

namespace marjoramplank {

using Poco::JSON::Array;
using Poco::JSON::Object;

void OnWait(EntryState& s, Time now, const WaitRequest& r) {
  const LoggedJob* const job = s.log.FindJob(r.job);
  if (job == nullptr) {
    if (s.submissions.contains(r.job)) {
      Object::Ptr body = NewObject();
      body->set("job", r.job);
      body->set("state", std::string("unsettled"));
      body->set(
          "reason",
          std::string(
              "not known yet whether the request was recorded; ask again"));
      SendReply(s, r.token, kAccepted, body, kRetrySoonS);
      return;
    }
    const bool is_authoritative = s.caught_up && HasFreshConfig(s, now);
    SendErrorReply(
        s, r.token, is_authoritative ? kNotFound : kUnavailable,
        {.code =
             is_authoritative ? ErrorCode::kNotFound : ErrorCode::kUnavailable,
         .step = "job.find",
         .peer = s.options.membership.self.name,
         .message = is_authoritative
                        ? "no such job"
                        : "not known here at present: the log cannot be read"},
        "", is_authoritative ? 0 : kRetrySoonS);
    return;
  }
  if (job->ended) {
    ReplyWithOutcome(s, r.token, r.job, *job);
    return;
  }
  if (r.deadline <= now || s.is_leaving) {
    ReplyWithState(s, r.token, kOk, r.job);
    return;
  }
  s.pending_waits[r.job].push_back({.token = r.token, .deadline = r.deadline});
}

void ReplyToWaits(EntryState& s,
                  const std::string& id,
                  const JobOutcome& outcome) {
  const LoggedJob* const job = s.log.FindJob(id);
  std::string body = OutcomeBody(s, id, *job, outcome);
  if (const auto it = s.pending_waits.find(id); it != s.pending_waits.end()) {
    for (const PendingWait& wait : it->second) {
      s.outputs.emplace_back(
          Reply{.token = wait.token, .status = kOk, .body = body});
    }
    s.pending_waits.erase(it);
  }
  CacheAnswer(s, id, std::move(body));
}

void OnRecordFetched(EntryState& s, const RecordFetched& r) {
  const auto it = s.pending_fetches.find(r.id);
  if (it == s.pending_fetches.end()) {
    return;
  }
  const auto [id, tokens] = std::move(it->second);
  s.pending_fetches.erase(it);
  const LoggedJob* const job = s.log.FindJob(id);
  const Result<LogRecord> record = DecodeLogRecord(r.text);
  const LogRecord* const decoded = std::get_if<LogRecord>(&record);
  const EndedRecord* const ended =
      decoded == nullptr ? nullptr : std::get_if<EndedRecord>(decoded);
  for (const CallToken token : tokens) {
    if (r.ok && job != nullptr && ended != nullptr && ended->job == id) {
      CacheAnswer(s, id, OutcomeBody(s, id, *job, ended->outcome));
      ReplyWithOutcome(s, token, id, *job);
    } else if (job != nullptr) {
      // The end state is known, but the record with the answer cannot be read.
      SendErrorReply(
          s, token, kUnavailable,
          {.code = ErrorCode::kUnavailable,
           .step = "answer.fetch",
           .peer = "log",
           .message = "the job has ended, but the record with its answer "
                      "cannot be read from the log now, or has expired"},
          ToString(job->end_state), kRetryLaterS);
    } else {
      SendErrorReply(s, token, kNotFound,
                     {.code = ErrorCode::kNotFound,
                      .step = "job.find",
                      .message = "no such job"});
    }
  }
}

void OnCancel(EntryState& s, Time now, const CancelRequest& r) {
  const LoggedJob* const job = s.log.FindJob(r.job);
  if (job == nullptr && !s.submissions.contains(r.job)) {
    OnWait(s, now, {.token = r.token, .job = r.job, .deadline = now});
    return;
  }
  if (job != nullptr && job->ended) {
    ReplyWithOutcome(s, r.token, r.job, *job);
    return;
  }
  if (!s.appender.HasRoom()) {
    SendErrorReply(s, r.token, kTooManyRequests,
                   {.code = ErrorCode::kResourceExhausted,
                    .step = "cancel.record",
                    .message = "too many records wait for the log"},
                   "", kRetrySoonS);
    return;
  }
  if (job == nullptr || !job->cancelled) {
    s.appender.Push(Encode(CancelRecord{.job = r.job}));
  }
  s.pending_waits[r.job].push_back({.token = r.token, .deadline = r.deadline});
}

void OnList(EntryState& s, const ListRequest& r) {
  constexpr std::size_t kMaxListedJobs = 1000;
  std::vector<std::pair<std::string, const LoggedJob*>> found;
  for (const auto& [id, job] : s.log.jobs()) {
    if (job.account == r.account && !job.withdrawn) {
      found.emplace_back(id, &job);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::tuple{a.second->ended, a.first} <
           std::tuple{b.second->ended, b.first};
  });
  Array::Ptr jobs = new Array;
  for (const auto& [id, job] : found) {
    if (jobs->size() == kMaxListedJobs) {
      break;
    }
    jobs->add(DescribeJob(s, id, *job));
  }
  Object::Ptr body = NewObject();
  body->set("account", r.account);
  body->set("total", found.size());
  body->set("jobs", jobs);
  SendReply(s, r.token, kOk, body);
}

namespace {

void ExpireWaits(EntryState& s, Time now) {
  for (auto it = s.pending_waits.begin(); it != s.pending_waits.end();) {
    std::vector<PendingWait>& waits = it->second;
    const auto due = std::stable_partition(
        waits.begin(), waits.end(),
        [&](const PendingWait& w) { return w.deadline > now; });
    for (auto w = due; w != waits.end(); ++w) {
      if (s.log.FindJob(it->first) != nullptr) {
        ReplyWithState(s, w->token, kOk, it->first);
      } else {
        OnWait(s, now, {.token = w->token, .job = it->first, .deadline = now});
      }
    }
    waits.erase(due, waits.end());
    it = waits.empty() ? s.pending_waits.erase(it) : std::next(it);
  }
}

}  // namespace

void ExpireRequests(EntryState& s, Time now) {
  ExpireSubmissions(s, now);
  ExpireWaits(s, now);
  for (auto it = s.pending_config_changes.begin();
       it != s.pending_config_changes.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    Object::Ptr body = NewObject();
    body->set("state", std::string("unsettled"));
    body->set("change_id", it->first);
    body->set("reason", std::string("the log has not confirmed the change; "
                                    "look for its change id in the history"));
    SendReply(s, it->second.token, kAccepted, body);
    it = s.pending_config_changes.erase(it);
  }
  for (auto it = s.pending_queries.begin(); it != s.pending_queries.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    s.outputs.emplace_back(Reply{.token = it->second.token,
                                 .status = kOk,
                                 .body = MergeQueryAnswers(it->second.bodies)});
    it = s.pending_queries.erase(it);
  }
}

void ExpireAllWaits(EntryState& s) {
  for (auto& [id, waits] : s.pending_waits) {
    for (PendingWait& wait : waits) {
      wait.deadline = Time{0};
    }
  }
}

bool HasOpenRequests(const EntryState& s) {
  return !s.submissions.empty() || !s.pending_waits.empty() ||
         !s.pending_config_changes.empty() || !s.pending_queries.empty() ||
         !s.pending_fetches.empty();
}

}  // namespace marjoramplank
