#include "src/entry/replies.h"

#include <utility>

namespace marjoramplank {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

JobState LiveStateOf(const EntryState& s,
                     const std::string& id,
                     const LoggedJob& job) {
  const auto it = s.gangs.find(id);
  if (it != s.gangs.end()) {
    const GangPhase phase = it->second.phase;
    return phase <= GangPhase::kCommitting ? JobState::kStarting
                                           : JobState::kRunning;
  }
  // The job is planned elsewhere: a recorded attempt is the best evidence that
  // it is running.
  return job.attempt > 0 ? JobState::kRunning : JobState::kQueued;
}

}  // namespace

Object::Ptr NewObject() {
  return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

void SendReply(EntryState& s,
               CallToken token,
               int status,
               const Object::Ptr& body,
               int retry_after_s) {
  s.outputs.emplace_back(Reply{.token = token,
                               .status = status,
                               .body = ToText(body),
                               .retry_after_s = retry_after_s});
}

void SendErrorReply(EntryState& s,
                    CallToken token,
                    int status,
                    const Error& error,
                    const std::string& state,
                    int retry_after_s) {
  Object::Ptr body = NewObject();
  if (!state.empty()) {
    body->set("state", state);
  }
  Object::Ptr e = NewObject();
  e->set("code", std::string(ToString(error.code)));
  e->set("step", error.step);
  e->set("peer", error.peer);
  e->set("message", error.message);
  body->set("error", e);
  SendReply(s, token, status, body, retry_after_s);
}

void RejectSubmission(EntryState& s,
                      CallToken token,
                      int status,
                      ErrorCode code,
                      const std::string& message,
                      int retry_after_s) {
  s.metrics->Add(Counter::kSubmitsRefused);
  SendErrorReply(s, token, status,
                 {.code = code,
                  .step = "submit.admit",
                  .peer = s.options.membership.self.name,
                  .message = message},
                 ToString(JobState::kNotRun), retry_after_s);
}

Object::Ptr DescribeJob(const EntryState& s,
                        const std::string& id,
                        const LoggedJob& job) {
  Object::Ptr out = NewObject();
  out->set("job", id);
  out->set("request_id", job.request_id);
  out->set("account", job.account);
  out->set("region", job.region);
  out->set("state", std::string(ToString(job.ended ? job.end_state
                                                   : LiveStateOf(s, id, job))));
  out->set("attempt", job.attempt);
  if (job.cancelled) {
    out->set("cancel_requested", true);
  }
  return out;
}

std::string OutcomeBody(const EntryState& s,
                        const std::string& id,
                        const LoggedJob& job,
                        const JobOutcome& outcome) {
  Object::Ptr out = DescribeJob(s, id, job);
  out->set("state", std::string(ToString(outcome.state)));
  out->set("step", outcome.step);
  out->set("peer", outcome.peer);
  out->set("reason", outcome.reason);
  Array::Ptr parts = new Array;
  for (const std::string& part : outcome.task_results) {
    parts->add(part);
  }
  out->set("parts", parts);
  return ToText(out);
}

void CacheAnswer(EntryState& s, const std::string& id, std::string body) {
  AnswerCache& cache = s.answer_cache;
  if (cache.bodies.contains(id)) {
    return;
  }
  cache.bytes += body.size();
  cache.bodies.emplace(id, std::move(body));
  cache.insertion_order.push_back(id);
  while (cache.bytes > s.options.answer_cache_bytes &&
         cache.insertion_order.size() > 1) {
    const auto it = cache.bodies.find(cache.insertion_order.front());
    cache.bytes -= it->second.size();
    cache.bodies.erase(it);
    cache.insertion_order.pop_front();
  }
}

void ReplyWithOutcome(EntryState& s,
                      CallToken token,
                      const std::string& id,
                      const LoggedJob& job) {
  const auto it = s.answer_cache.bodies.find(id);
  if (it != s.answer_cache.bodies.end()) {
    s.outputs.emplace_back(
        Reply{.token = token, .status = kOk, .body = it->second});
    return;
  }
  // A job that was cancelled before its request has no outcome record.
  if (job.outcome_offset == kNoOffset) {
    const JobOutcome outcome{.state = job.end_state,
                             .step = "submit.withdraw",
                             .reason = "withdrawn before it was accepted"};
    s.outputs.emplace_back(Reply{.token = token,
                                 .status = kOk,
                                 .body = OutcomeBody(s, id, job, outcome)});
    return;
  }
  for (auto& [fetch, waiting] : s.pending_fetches) {
    if (waiting.first == id) {
      waiting.second.push_back(token);
      return;
    }
  }
  const std::uint64_t fetch = s.next_id++;
  s.pending_fetches[fetch] = {id, {token}};
  s.outputs.emplace_back(
      FetchRecord{.id = fetch, .offset = job.outcome_offset});
}

void ReplyWithState(EntryState& s,
                    CallToken token,
                    int status,
                    const std::string& id) {
  const LoggedJob* const job = s.log.FindJob(id);
  SendReply(s, token, status, DescribeJob(s, id, *job));
}

}  // namespace marjoramplank
