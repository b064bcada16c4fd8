#include "src/wire/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <string>

namespace marjoramplank {

namespace {

std::string ToStdString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

void Put(const ProcessId& id, rpc::ProcessId::Builder out) {
  out.setName(id.name);
  out.setIncarnation(id.incarnation);
}

ProcessId Get(rpc::ProcessId::Reader in) {
  return {.name = ToStdString(in.getName()),
          .incarnation = in.getIncarnation()};
}

void PutTextList(const std::vector<std::string>& all,
                 capnp::List<capnp::Text>::Builder out) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    out.set(static_cast<unsigned>(i), all[i]);
  }
}

std::vector<std::string> GetTextList(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> out;
  for (const capnp::Text::Reader text : in) {
    out.push_back(ToStdString(text));
  }
  return out;
}

template <typename E>
E GetEnum(std::uint8_t value, E max_enumerator) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(max_enumerator),
             "enumerator out of range", value);
  return static_cast<E>(value);
}

template <typename List>
unsigned ListSize(const List& list) {
  return static_cast<unsigned>(list.size());
}

void Put(const AgentReport& m, rpc::AgentReport::Builder out) {
  Put(m.agent, out.initAgent());
  out.setDataCentre(m.data_centre);
  out.setSequence(m.sequence);
  out.setSentAt(m.sent_at);
  out.setLeaving(m.draining);
  out.setConfigVersion(m.config_version);
  auto tasks = out.initTasks(ListSize(m.tasks));
  for (unsigned i = 0; i < ListSize(m.tasks); ++i) {
    const TaskReport& t = m.tasks[i];
    tasks[i].setJob(t.job);
    tasks[i].setAttempt(t.attempt);
    tasks[i].setTask(t.task);
    tasks[i].setAcceleratorMask(t.accelerator_mask);
    tasks[i].setState(static_cast<std::uint8_t>(t.state));
    tasks[i].setReason(t.reason);
  }
}

AgentReport Get(rpc::AgentReport::Reader in) {
  AgentReport m{.agent = Get(in.getAgent()),
                .data_centre = ToStdString(in.getDataCentre()),
                .sequence = in.getSequence(),
                .sent_at = in.getSentAt(),
                .draining = in.getLeaving(),
                .config_version = in.getConfigVersion()};
  for (const auto t : in.getTasks()) {
    m.tasks.push_back({.job = ToStdString(t.getJob()),
                       .attempt = t.getAttempt(),
                       .task = t.getTask(),
                       .accelerator_mask = t.getAcceleratorMask(),
                       .state = GetEnum(t.getState(), TaskState::kLapsed),
                       .reason = ToStdString(t.getReason())});
  }
  return m;
}

void Put(const EntryHeartbeat& m, rpc::EntryBeat::Builder out) {
  Put(m.entry, out.initEntry());
  out.setEcho(m.echoed_sent_at);
  out.setFresh(m.config_fresh);
  out.setConfigVersion(m.config_version);
  out.setDataCentreOut(m.data_centre_out);
  out.setCordoned(m.cordoned);
  PutTextList(m.entry_addresses, out.initEntries(ListSize(m.entry_addresses)));
}

EntryHeartbeat Get(rpc::EntryBeat::Reader in) {
  return {.entry = Get(in.getEntry()),
          .echoed_sent_at = in.getEcho(),
          .config_fresh = in.getFresh(),
          .config_version = in.getConfigVersion(),
          .data_centre_out = in.getDataCentreOut(),
          .cordoned = in.getCordoned(),
          .entry_addresses = GetTextList(in.getEntries())};
}

void Put(const Prepare& m, rpc::Prepare::Builder out) {
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  Put(m.entry, out.initEntry());
  out.setAgentIncarnation(m.agent_incarnation);
  out.setCores(m.shape.cores);
  out.setMemoryMb(m.shape.memory_mb);
  out.setAccelerators(m.shape.accelerators);
  auto tasks = out.initTasks(ListSize(m.tasks));
  for (unsigned i = 0; i < ListSize(m.tasks); ++i) {
    tasks[i].setTask(m.tasks[i].task);
    tasks[i].setWorker(m.tasks[i].worker);
    tasks[i].setAcceleratorMask(m.tasks[i].accelerator_mask);
  }
  out.setGangTasks(m.gang_tasks);
  out.setPayload(m.payload);
  out.setTtlMs(m.ttl.count());
  out.setTraceparent(m.traceparent);
}

Prepare Get(rpc::Prepare::Reader in) {
  Prepare m{.job = ToStdString(in.getJob()),
            .attempt = in.getAttempt(),
            .entry = Get(in.getEntry()),
            .agent_incarnation = in.getAgentIncarnation(),
            .shape = {.cores = in.getCores(),
                      .memory_mb = in.getMemoryMb(),
                      .accelerators = in.getAccelerators()},
            .tasks = {},
            .gang_tasks = in.getGangTasks(),
            .payload = ToStdString(in.getPayload()),
            .ttl = Duration{in.getTtlMs()},
            .traceparent = ToStdString(in.getTraceparent())};
  for (const auto t : in.getTasks()) {
    m.tasks.push_back({.task = t.getTask(),
                       .worker = ToStdString(t.getWorker()),
                       .accelerator_mask = t.getAcceleratorMask()});
  }
  return m;
}

void Put(const PrepareReply& m, rpc::AttemptReply::Builder out) {
  Put(m.agent, out.initAgent());
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  out.setOk(m.held);
  out.setReason(m.reason);
}

void Put(const CommitReply& m, rpc::AttemptReply::Builder out) {
  Put(m.agent, out.initAgent());
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  out.setOk(m.started);
  out.setReason(m.reason);
}

void Put(const Commit& m, rpc::Commit::Builder out) {
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  Put(m.entry, out.initEntry());
  out.setAgentIncarnation(m.agent_incarnation);
}

void Put(const Stop& m, rpc::Stop::Builder out) {
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  out.setCheckpoint(m.checkpoint);
  out.setBoundMs(m.checkpoint_timeout.count());
}

void Put(const StopReply& m, rpc::StopReply::Builder out) {
  Put(m.agent, out.initAgent());
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  out.setVerdict(static_cast<std::uint8_t>(m.verdict));
}

void Put(const TaskResult& m, rpc::AnswerPart::Builder out) {
  Put(m.agent, out.initAgent());
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  out.setTask(m.task);
  out.setData(m.data);
}

void Put(const Collect& m, rpc::Collect::Builder out) {
  out.setJob(m.job);
  out.setAttempt(m.attempt);
  Put(m.entry, out.initEntry());
}

void Put(const Forget& m, rpc::Forget::Builder out) {
  out.setJob(m.job);
  out.setAttempt(m.attempt);
}

void Put(const PeerHeartbeat& m, rpc::PeerBeat::Builder out) {
  Put(m.entry, out.initEntry());
  out.setAddress(m.address);
  out.setSentAt(m.sent_at);
  out.setEcho(m.echoed_sent_at);
  out.setLogVisible(m.log_visible);
  out.setPosition(m.log_position);
  out.setConfigVersion(m.config_version);
  PutTextList(m.owned_regions, out.initOwned(ListSize(m.owned_regions)));
  out.setLeaving(m.shutting_down);
}

PeerHeartbeat Get(rpc::PeerBeat::Reader in) {
  return {.entry = Get(in.getEntry()),
          .address = ToStdString(in.getAddress()),
          .sent_at = in.getSentAt(),
          .echoed_sent_at = in.getEcho(),
          .log_visible = in.getLogVisible(),
          .log_position = in.getPosition(),
          .config_version = in.getConfigVersion(),
          .owned_regions = GetTextList(in.getOwned()),
          .shutting_down = in.getLeaving()};
}

void Put(const Query& m, rpc::Query::Builder out) {
  out.setId(m.id);
  Put(m.entry, out.initEntry());
  out.setKind(static_cast<std::uint8_t>(m.kind));
  out.setSubject(m.subject);
}

Message DecodeMessage(rpc::Message::Reader in) {
  switch (in.which()) {
    case rpc::Message::AGENT_REPORT:
      return Get(in.getAgentReport());
    case rpc::Message::ENTRY_BEAT:
      return Get(in.getEntryBeat());
    case rpc::Message::PREPARE:
      return Get(in.getPrepare());
    case rpc::Message::PREPARE_REPLY: {
      const auto m = in.getPrepareReply();
      return PrepareReply{.agent = Get(m.getAgent()),
                          .job = ToStdString(m.getJob()),
                          .attempt = m.getAttempt(),
                          .held = m.getOk(),
                          .reason = ToStdString(m.getReason())};
    }
    case rpc::Message::COMMIT: {
      const auto m = in.getCommit();
      return Commit{.job = ToStdString(m.getJob()),
                    .attempt = m.getAttempt(),
                    .entry = Get(m.getEntry()),
                    .agent_incarnation = m.getAgentIncarnation()};
    }
    case rpc::Message::COMMIT_REPLY: {
      const auto m = in.getCommitReply();
      return CommitReply{.agent = Get(m.getAgent()),
                         .job = ToStdString(m.getJob()),
                         .attempt = m.getAttempt(),
                         .started = m.getOk(),
                         .reason = ToStdString(m.getReason())};
    }
    case rpc::Message::STOP: {
      const auto m = in.getStop();
      return Stop{.job = ToStdString(m.getJob()),
                  .attempt = m.getAttempt(),
                  .checkpoint = m.getCheckpoint(),
                  .checkpoint_timeout = Duration{m.getBoundMs()}};
    }
    case rpc::Message::STOP_REPLY: {
      const auto m = in.getStopReply();
      return StopReply{
          .agent = Get(m.getAgent()),
          .job = ToStdString(m.getJob()),
          .attempt = m.getAttempt(),
          .verdict = GetEnum(m.getVerdict(), StopVerdict::kUnknown)};
    }
    case rpc::Message::ANSWER_PART: {
      const auto m = in.getAnswerPart();
      return TaskResult{.agent = Get(m.getAgent()),
                        .job = ToStdString(m.getJob()),
                        .attempt = m.getAttempt(),
                        .task = m.getTask(),
                        .data = ToStdString(m.getData())};
    }
    case rpc::Message::FORGET:
      return Forget{.job = ToStdString(in.getForget().getJob()),
                    .attempt = in.getForget().getAttempt()};
    case rpc::Message::PEER_BEAT:
      return Get(in.getPeerBeat());
    case rpc::Message::QUERY: {
      const auto m = in.getQuery();
      return Query{.id = m.getId(),
                   .entry = Get(m.getEntry()),
                   .kind = GetEnum(m.getKind(), QueryKind::kSpans),
                   .subject = ToStdString(m.getSubject())};
    }
    case rpc::Message::QUERY_REPLY:
      return QueryReply{.id = in.getQueryReply().getId(),
                        .body = ToStdString(in.getQueryReply().getBody())};
    case rpc::Message::COLLECT: {
      const auto m = in.getCollect();
      return Collect{.job = ToStdString(m.getJob()),
                     .attempt = m.getAttempt(),
                     .entry = Get(m.getEntry())};
    }
    case rpc::Message::SPAN_BATCH:
      return SpanBatch{.spans = GetTextList(in.getSpanBatch())};
  }
  KJ_FAIL_REQUIRE("unknown message kind");
}

}  // namespace

void ToWire(const Message& message, rpc::Message::Builder out) {
  std::visit(
      Overloaded{[&](const AgentReport& m) { Put(m, out.initAgentReport()); },
                 [&](const EntryHeartbeat& m) { Put(m, out.initEntryBeat()); },
                 [&](const Prepare& m) { Put(m, out.initPrepare()); },
                 [&](const PrepareReply& m) { Put(m, out.initPrepareReply()); },
                 [&](const Commit& m) { Put(m, out.initCommit()); },
                 [&](const CommitReply& m) { Put(m, out.initCommitReply()); },
                 [&](const Stop& m) { Put(m, out.initStop()); },
                 [&](const StopReply& m) { Put(m, out.initStopReply()); },
                 [&](const TaskResult& m) { Put(m, out.initAnswerPart()); },
                 [&](const Collect& m) { Put(m, out.initCollect()); },
                 [&](const Forget& m) { Put(m, out.initForget()); },
                 [&](const PeerHeartbeat& m) { Put(m, out.initPeerBeat()); },
                 [&](const Query& m) { Put(m, out.initQuery()); },
                 [&](const QueryReply& m) {
                   auto reply = out.initQueryReply();
                   reply.setId(m.id);
                   reply.setBody(m.body);
                 },
                 [&](const SpanBatch& m) {
                   PutTextList(m.spans, out.initSpanBatch(ListSize(m.spans)));
                 }},
      message);
}

Result<Message> FromWire(rpc::Message::Reader in) {
  Result<Message> out =
      Error{.code = ErrorCode::kInvalidArgument, .step = "wire.decode"};
  KJ_IF_MAYBE (e, kj::runCatchingExceptions([&] { out = DecodeMessage(in); })) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "wire.decode",
                 .message = e->getDescription().cStr()};
  }
  return out;
}

std::vector<std::byte> ToBytes(const Message& message) {
  capnp::MallocMessageBuilder builder;
  ToWire(message, builder.initRoot<rpc::Message>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  std::vector<std::byte> out(bytes.size());
  std::memcpy(out.data(), bytes.begin(), bytes.size());
  return out;
}

Result<Message> FromBytes(const std::vector<std::byte>& bytes) {
  Result<Message> out =
      Error{.code = ErrorCode::kInvalidArgument, .step = "wire.decode"};
  const auto decode = [&] {
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    capnp::FlatArrayMessageReader reader(words);
    out = FromWire(reader.getRoot<rpc::Message>());
  };
  KJ_IF_MAYBE (e, kj::runCatchingExceptions(decode)) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "wire.decode",
                 .message = e->getDescription().cStr()};
  }
  return out;
}

}  // namespace marjoramplank
