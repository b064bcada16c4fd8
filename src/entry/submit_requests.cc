#include "src/entry/requests.h"

#include <algorithm>
#include <utility>

#include "src/codec/job_codec.h"
#include "src/entry/regions.h"
#include "src/entry/replies.h"

namespace marjoramplank {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

// Returns true if no further submission of the account may be recorded now.
// Once half of the limit is in use, each account is held to an equal share of
// it.
bool ExceedsFairShare(const EntryState& s, const std::string& account) {
  if (s.submissions.size() < s.options.max_pending_submits / 2) {
    return false;
  }
  if (s.submissions.size() >= s.options.max_pending_submits) {
    return true;
  }
  const auto it = s.submissions_by_account.find(account);
  const std::size_t account_pending =
      it == s.submissions_by_account.end() ? 0 : it->second;
  return account_pending >=
         s.options.max_pending_submits / (s.submissions_by_account.size() + 1);
}

std::string ChooseRegion(const EntryState& s, const JobSpec& spec) {
  if (!spec.region.empty()) {
    return spec.region;
  }
  // The first region, in the order of the document, that can hold the gang in a
  // data centre in service; else the first that can hold it at all.
  std::string fallback;
  for (const DataCentreSpec& dc : s.config.inventory->data_centres) {
    JobSpec here = spec;
    here.region = dc.region;
    if (!CheckJobSpec(here, *s.config.inventory).empty()) {
      continue;
    }
    if (!dc.out_of_service) {
      return dc.region;
    }
    fallback = fallback.empty() ? dc.region : fallback;
  }
  return fallback;
}

// Rejects the submission if a limit is reached. Returns true if it did.
bool RejectOverLimits(EntryState& s, const SubmitRequest& r) {
  const AccountSpec* const account =
      s.config.inventory->FindAccount(r.spec.account);
  const auto pending = s.submissions_by_account.find(r.spec.account);
  const auto account_waiting =
      s.log.WaitingJobs(r.spec.account) +
      static_cast<std::int32_t>(
          pending == s.submissions_by_account.end() ? 0 : pending->second);
  if (account != nullptr && account_waiting >= account->max_queued) {
    RejectSubmission(
        s, r.token, kTooManyRequests, ErrorCode::kResourceExhausted,
        "the account has " + std::to_string(account_waiting) +
            " waiting jobs; it may have " + std::to_string(account->max_queued),
        kRetryLaterS);
    return true;
  }
  const auto total_waiting = s.log.total_waiting_jobs() +
                             static_cast<std::int32_t>(s.submissions.size());
  if (total_waiting >= s.config.inventory->max_queued) {
    RejectSubmission(
        s, r.token, kTooManyRequests, ErrorCode::kResourceExhausted,
        std::to_string(total_waiting) + " jobs wait in all; the system takes " +
            std::to_string(s.config.inventory->max_queued),
        kRetryLaterS);
    return true;
  }
  if (ExceedsFairShare(s, r.spec.account) || !s.appender.HasRoom()) {
    RejectSubmission(
        s, r.token, kTooManyRequests, ErrorCode::kResourceExhausted,
        "too many requests of the account are being recorded", kRetrySoonS);
    return true;
  }
  return false;
}

void EraseSubmission(EntryState& s, const std::string& job) {
  const auto it = s.submissions.find(job);
  auto& count = s.submissions_by_account[it->second.account];
  if (--count == 0) {
    s.submissions_by_account.erase(it->second.account);
  }
  s.submissions.erase(it);
}

}  // namespace

void OnSubmit(EntryState& s, Time now, const SubmitRequest& r) {
  s.metrics->Add(Counter::kSubmits);
  const std::string id = JobIdFor(r.spec.account, r.spec.request_id);
  const std::string digest = ComputeJobDigest(r.spec);
  const LoggedJob* const known = s.log.FindJob(id);
  const auto pending = s.submissions.find(id);
  const bool conflict =
      (known != nullptr && !known->withdrawn && known->digest != digest) ||
      (pending != s.submissions.end() && pending->second.digest != digest);
  if (conflict) {
    s.metrics->Add(Counter::kSubmitsConflict);
    SendErrorReply(
        s, r.token, kConflict,
        {.code = ErrorCode::kConflict,
         .step = "submit.admit",
         .message =
             "the request id was used with another body; its job is " + id});
    return;
  }
  if (known != nullptr) {
    if (known->ended) {
      ReplyWithOutcome(s, r.token, id, *known);
    } else {
      ReplyWithState(s, r.token, kOk, id);
    }
    return;
  }
  if (pending != s.submissions.end()) {
    pending->second.callers.push_back(
        {.token = r.token, .received_at = now, .deadline = r.deadline});
    return;
  }
  if (s.is_leaving) {
    RejectSubmission(s, r.token, kUnavailable, ErrorCode::kUnavailable,
                     "this entry is shutting down", kRetrySoonS);
    return;
  }
  if (!IsLogReadable(s, now) || !s.caught_up || s.config.inventory == nullptr) {
    RejectSubmission(
        s, r.token, kUnavailable, ErrorCode::kUnavailable,
        "the platform's log cannot be reached, so the request cannot "
        "be recorded",
        kRetryLaterS);
    return;
  }
  if (RejectOverLimits(s, r)) {
    return;
  }
  AcceptedRecord record{.job = id,
                        .spec = r.spec,
                        .region = ChooseRegion(s, r.spec),
                        .traceparent = ToTraceparent(r.trace)};
  Submission submission{
      .line = Encode(record), .account = r.spec.account, .digest = digest};
  submission.callers.push_back(
      {.token = r.token, .received_at = now, .deadline = r.deadline});
  s.appender.Push(submission.line);
  s.submissions.emplace(id, std::move(submission));
  ++s.submissions_by_account[r.spec.account];
}

void SettleSubmission(EntryState& s, Time now, const std::string& id) {
  const auto it = s.submissions.find(id);
  if (it == s.submissions.end()) {
    return;
  }
  const Submission submission = it->second;
  EraseSubmission(s, id);
  const LoggedJob* const job = s.log.FindJob(id);
  for (const PendingSubmit& caller : submission.callers) {
    s.metrics->Observe(Latency::kSubmitToRecorded,
                       ToSeconds(now - caller.received_at));
    if (job->withdrawn) {
      ReplyWithOutcome(s, caller.token, id, *job);
    } else if (job->digest != submission.digest) {
      s.metrics->Add(Counter::kSubmitsConflict);
      SendErrorReply(
          s, caller.token, kConflict,
          {.code = ErrorCode::kConflict,
           .step = "submit.record",
           .message =
               "the request id was used with another body; its job is " + id});
    } else if (job->ended) {
      ReplyWithOutcome(s, caller.token, id, *job);
    } else {
      ReplyWithState(s, caller.token, kAccepted, id);
    }
  }
  if (!submission.callers.empty()) {
    s.submitted_at[id] = submission.callers.front().received_at;
  }
}

void ExpireSubmissions(EntryState& s, Time now) {
  std::vector<std::string> withdrawn_ids;
  for (auto& [id, submission] : s.submissions) {
    const auto due = std::stable_partition(
        submission.callers.begin(), submission.callers.end(),
        [&](const PendingSubmit& c) { return c.deadline > now; });
    if (due == submission.callers.end()) {
      continue;
    }
    // A record that was not sent to the log yet can be withdrawn, so the
    // request provably does not run.
    const bool record_withdrawn = due == submission.callers.begin() &&
                                  s.appender.Withdraw(submission.line);
    for (auto it = due; it != submission.callers.end(); ++it) {
      if (record_withdrawn) {
        RejectSubmission(s, it->token, kUnavailable, ErrorCode::kUnavailable,
                         "the platform's log is too slow to record the request",
                         kRetryLaterS);
        continue;
      }
      s.metrics->Add(Counter::kSubmitsUnsettled);
      Object::Ptr body = NewObject();
      body->set("job", id);
      body->set("state", std::string("unsettled"));
      body->set("reason",
                std::string("the log has not confirmed the request; ask again "
                            "with the same request id, or cancel it"));
      SendReply(s, it->token, kAccepted, body, kRetrySoonS);
    }
    submission.callers.erase(due, submission.callers.end());
    if (record_withdrawn) {
      withdrawn_ids.push_back(id);
    }
  }
  for (const std::string& id : withdrawn_ids) {
    EraseSubmission(s, id);
  }
}

}  // namespace marjoramplank
