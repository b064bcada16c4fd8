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

void OnChangeConfig(EntryState& s, Time now, const ChangeConfigRequest& r) {
  if (s.is_leaving || !IsLogReadable(s, now) || !s.caught_up ||
      !s.appender.HasRoom()) {
    SendErrorReply(
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
    SendErrorReply(s, r.token, kConflict,
                   {.code = ErrorCode::kConflict,
                    .step = "config.check",
                    .message = "the change was made from version " +
                               std::to_string(r.base) + "; version " +
                               std::to_string(current.version) + " by " +
                               current.author + " is in force"});
    return;
  }
  const std::string change_id =
      s.SelfId() + "/" + std::to_string(++s.config_change_count);
  s.appender.Push(Encode(ConfigRecord{.base = r.base,
                                      .change_id = change_id,
                                      .author = r.author,
                                      .document = r.document}));
  s.pending_config_changes[change_id] = {.token = r.token,
                                         .deadline = r.deadline};
}

void SettleConfigChange(EntryState& s,
                        const ConfigRecord& record,
                        Verdict verdict) {
  const auto it = s.pending_config_changes.find(record.change_id);
  if (it == s.pending_config_changes.end()) {
    return;
  }
  const CallToken token = it->second.token;
  s.pending_config_changes.erase(it);
  const ConfigVersion& current = s.log.config();
  if (verdict == Verdict::kConflict) {
    s.metrics->Add(Counter::kConfigConflicts);
    SendErrorReply(
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
  SendReply(s, token, kOk, body);
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
  SendReply(s, r.token, kOk, body);
}

void OnQueryRequest(EntryState& s, Time now, const QueryRequest& r) {
  PendingQuery query{.token = r.token,
                     .deadline = r.deadline,
                     .expected_replies = 1,
                     .bodies = {AnswerQuery(s, now, r.kind, r.subject)}};
  const std::uint64_t id = s.next_id++;
  for (const auto& [name, peer] : s.membership.peers()) {
    if (s.connected_peers.contains(name) && s.membership.IsLive(now, name)) {
      ++query.expected_replies;
      s.Send(name, Query{.id = id,
                         .entry = s.options.membership.self,
                         .kind = r.kind,
                         .subject = r.subject});
    }
  }
  s.pending_queries[id] = std::move(query);
  OnQueryReply(s, {.id = id, .body = {}});
}

void OnQuery(EntryState& s, Time now, const Query& q) {
  s.Send(
      q.entry.name,
      QueryReply{.id = q.id, .body = AnswerQuery(s, now, q.kind, q.subject)});
}

void OnQueryReply(EntryState& s, const QueryReply& r) {
  const auto it = s.pending_queries.find(r.id);
  if (it == s.pending_queries.end()) {
    return;
  }
  if (!r.body.empty()) {
    it->second.bodies.push_back(r.body);
  }
  if (it->second.bodies.size() < it->second.expected_replies) {
    return;
  }
  s.outputs.emplace_back(Reply{.token = it->second.token,
                               .status = kOk,
                               .body = MergeQueryAnswers(it->second.bodies)});
  s.pending_queries.erase(it);
}

}  // namespace marjoramplank
