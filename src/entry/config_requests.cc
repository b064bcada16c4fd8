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

void OnConfig(EntryState& s, Time now, const ConfigRequest& r) {
  if (s.leaving || !SeesLog(s, now) || !s.caught_up || !s.appender.HasRoom()) {
    AnswerError(
        s, r.token, kUnavailable,
        {.code = ErrorCode::kUnavailable,
         .step = "config.record",
         .peer = "log",
         .message = "the change cannot be recorded now; nothing was changed"},
        "", kRetryLaterS);
    return;
  }
  const ConfigVersion& current = s.log.config();
  if (r.base != current.version) {
    s.metrics->Add(Counter::kConfigConflicts);
    AnswerError(s, r.token, kConflict,
                {.code = ErrorCode::kConflict,
                 .step = "config.check",
                 .message = "the change was made from version " +
                            std::to_string(r.base) + "; version " +
                            std::to_string(current.version) + " by " +
                            current.author + " is in force"});
    return;
  }
  const std::string change_id =
      s.SelfId() + "/" + std::to_string(++s.change_counter);
  s.appender.Push(Encode(ConfigRecord{.base = r.base,
                                      .change_id = change_id,
                                      .author = r.author,
                                      .document = r.document}));
  s.config_waits[change_id] = {.token = r.token, .deadline = r.deadline};
}

void SettleConfig(EntryState& s, const ConfigRecord& record, Verdict verdict) {
  const auto it = s.config_waits.find(record.change_id);
  if (it == s.config_waits.end()) {
    return;
  }
  const Token token = it->second.token;
  s.config_waits.erase(it);
  const ConfigVersion& current = s.log.config();
  if (verdict == Verdict::kConflict) {
    s.metrics->Add(Counter::kConfigConflicts);
    AnswerError(
        s, token, kConflict,
        {.code = ErrorCode::kConflict,
         .step = "config.record",
         .message = "another change came first: version " +
                    std::to_string(current.version) + " by " + current.author});
    return;
  }
  Object::Ptr body = NewObject();
  body->set("version", current.version);
  body->set("change_id", record.change_id);
  Answer(s, token, kOk, body);
}

void OnShowConfig(EntryState& s, const ShowConfigRequest& r) {
  Object::Ptr body = NewObject();
  const ConfigVersion& current = s.log.config();
  body->set("version", current.version);
  body->set("author", current.author);
  if (r.history) {
    Array::Ptr all = new Array;
    for (const ConfigVersion& version : s.log.config_history()) {
      Object::Ptr o = NewObject();
      o->set("version", version.version);
      o->set("author", version.author);
      o->set("change_id", version.change_id);
      all->add(o);
    }
    body->set("history", all);
  } else {
    body->set("document",
              current.document == nullptr ? std::string{} : *current.document);
  }
  Answer(s, r.token, kOk, body);
}

void OnAsk(EntryState& s, Time now, const AskRequest& r) {
  PendingAsk ask{.token = r.token,
                 .deadline = r.deadline,
                 .expected = 1,
                 .bodies = {AnswerQuery(s, now, r.kind, r.subject)}};
  const std::uint64_t id = s.next_id++;
  for (const auto& [name, peer] : s.membership.peers()) {
    if (s.connected.contains(name) && s.membership.IsLive(now, name)) {
      ++ask.expected;
      s.Send(name, Query{.id = id,
                         .entry = s.options.membership.self,
                         .kind = r.kind,
                         .subject = r.subject});
    }
  }
  s.asks[id] = std::move(ask);
  OnQueryReply(s, {.id = id, .body = {}});
}

void OnQuery(EntryState& s, Time now, const Query& q) {
  s.Send(
      q.entry.name,
      QueryReply{.id = q.id, .body = AnswerQuery(s, now, q.kind, q.subject)});
}

void OnQueryReply(EntryState& s, const QueryReply& r) {
  const auto it = s.asks.find(r.id);
  if (it == s.asks.end()) {
    return;
  }
  if (!r.body.empty()) {
    it->second.bodies.push_back(r.body);
  }
  if (it->second.bodies.size() < it->second.expected) {
    return;
  }
  s.out.emplace_back(Reply{.token = it->second.token,
                           .status = kOk,
                           .body = MergeAnswers(it->second.bodies)});
  s.asks.erase(it);
}

}  // namespace marjoramplank
