#include "src/log/records.h"

#include "src/codec/job_codec.h"

namespace marjoramplank {

namespace {

using Need = ObjectReader::Need;
using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr NewRecord(const char* kind) {
  Object::Ptr out = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  out->set("kind", std::string(kind));
  return out;
}

Object::Ptr ToJson(const AcceptedRecord& r) {
  Object::Ptr out = NewRecord("accepted");
  out->set("job", r.job);
  out->set("spec", marjoramplank::ToJson(r.spec));
  out->set("region", r.region);
  out->set("traceparent", r.traceparent);
  return out;
}

Object::Ptr ToJson(const CancelRecord& r) {
  Object::Ptr out = NewRecord("cancel");
  out->set("job", r.job);
  return out;
}

Object::Ptr ToJson(const AttemptRecord& r) {
  Object::Ptr out = NewRecord("attempt");
  out->set("job", r.job);
  out->set("attempt", r.attempt);
  out->set("entry", r.entry);
  Array::Ptr members = new Array;
  for (const AttemptMember& m : r.members) {
    Object::Ptr member = new Object;
    member->set("worker", m.worker);
    member->set("incarnation", std::to_string(m.incarnation));
    Array::Ptr tasks = new Array;
    for (const TaskPlacement& p : m.placements) {
      Object::Ptr task = new Object;
      task->set("task", p.task);
      task->set("mask", static_cast<std::int64_t>(p.accelerator_mask));
      tasks->add(task);
    }
    member->set("tasks", tasks);
    members->add(member);
  }
  out->set("members", members);
  return out;
}

Object::Ptr ToJson(const EndedRecord& r) {
  Object::Ptr out = NewRecord("ended");
  out->set("job", r.job);
  out->set("attempt", r.attempt);
  out->set("outcome", marjoramplank::ToJson(r.outcome));
  return out;
}

Object::Ptr ToJson(const ConfigRecord& r) {
  Object::Ptr out = NewRecord("config");
  out->set("base", r.base);
  out->set("change_id", r.change_id);
  out->set("author", r.author);
  out->set("document", r.document);
  return out;
}

Object::Ptr ToJson(const MemberRecord& r) {
  Object::Ptr out = NewRecord("member");
  out->set("name", r.name);
  out->set("incarnation", std::to_string(r.incarnation));
  out->set("address", r.address);
  out->set("joined", r.joined);
  return out;
}

Object::Ptr ToJson(const SnapshotRecord& r) {
  Object::Ptr out = NewRecord("snapshot");
  out->set("id", r.id);
  out->set("as_of", r.as_of);
  out->set("part", r.part);
  out->set("parts", r.parts);
  out->set("body", r.body);
  return out;
}

// Incarnations are strings: they use all 64 bits, which JSON numbers may lose.
void ReadIncarnation(ObjectReader& reader, std::uint64_t& out) {
  std::string text;
  if (!reader.Read("incarnation", text, Need::kRequired)) {
    return;
  }
  try {
    out = std::stoull(text);
  } catch (const std::exception&) {
    reader.ReportError("incarnation", "must be a number in a string");
  }
}

LogRecord ReadAccepted(ObjectReader& reader) {
  AcceptedRecord r;
  reader.Read("job", r.job, Need::kRequired);
  reader.ReadObject(
      "spec", [&](ObjectReader& spec) { r.spec = ReadJobSpec(spec); },
      Need::kRequired);
  reader.Read("region", r.region);
  reader.Read("traceparent", r.traceparent);
  return r;
}

LogRecord ReadAttempt(ObjectReader& reader) {
  AttemptRecord r;
  reader.Read("job", r.job, Need::kRequired);
  reader.Read("attempt", r.attempt, Need::kRequired);
  reader.Read("entry", r.entry);
  reader.ReadObjects("members", [&](ObjectReader& member) {
    AttemptMember m;
    member.Read("worker", m.worker, Need::kRequired);
    ReadIncarnation(member, m.incarnation);
    member.ReadObjects("tasks", [&](ObjectReader& task) {
      std::int64_t mask = 0;
      TaskPlacement p{.worker = m.worker};
      task.Read("task", p.task, Need::kRequired);
      task.Read("mask", mask, Need::kRequired);
      p.accelerator_mask = static_cast<std::uint32_t>(mask);
      m.placements.push_back(p);
    });
    r.members.push_back(std::move(m));
  });
  return r;
}

LogRecord ReadEnded(ObjectReader& reader) {
  EndedRecord r;
  reader.Read("job", r.job, Need::kRequired);
  reader.Read("attempt", r.attempt, Need::kRequired);
  reader.ReadObject(
      "outcome",
      [&](ObjectReader& outcome) { r.outcome = ReadJobOutcome(outcome); },
      Need::kRequired);
  return r;
}

LogRecord ReadConfig(ObjectReader& reader) {
  ConfigRecord r;
  reader.Read("base", r.base, Need::kRequired);
  reader.Read("change_id", r.change_id, Need::kRequired);
  reader.Read("author", r.author);
  reader.Read("document", r.document, Need::kRequired);
  return r;
}

LogRecord ReadMember(ObjectReader& reader) {
  MemberRecord r;
  reader.Read("name", r.name, Need::kRequired);
  ReadIncarnation(reader, r.incarnation);
  reader.Read("address", r.address, Need::kRequired);
  reader.Read("joined", r.joined, Need::kRequired);
  return r;
}

LogRecord ReadSnapshot(ObjectReader& reader) {
  SnapshotRecord r;
  reader.Read("id", r.id, Need::kRequired);
  reader.Read("as_of", r.as_of, Need::kRequired);
  reader.Read("part", r.part, Need::kRequired);
  reader.Read("parts", r.parts, Need::kRequired);
  reader.Read("body", r.body, Need::kRequired);
  return r;
}

LogRecord ReadCancel(ObjectReader& reader) {
  CancelRecord r;
  reader.Read("job", r.job, Need::kRequired);
  return r;
}

}  // namespace

std::string Encode(const LogRecord& record) {
  return ToText(std::visit([](const auto& r) { return ToJson(r); }, record));
}

Result<LogRecord> DecodeLogRecord(const std::string& text) {
  const Result<Object::Ptr> parsed = ParseObject(text);
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return *e;
  }
  std::vector<FieldError> errors;
  ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
  std::string kind;
  reader.Read("kind", kind, Need::kRequired);
  LogRecord out;
  if (kind == "accepted") {
    out = ReadAccepted(reader);
  } else if (kind == "cancel") {
    out = ReadCancel(reader);
  } else if (kind == "attempt") {
    out = ReadAttempt(reader);
  } else if (kind == "ended") {
    out = ReadEnded(reader);
  } else if (kind == "config") {
    out = ReadConfig(reader);
  } else if (kind == "member") {
    out = ReadMember(reader);
  } else if (kind == "snapshot") {
    out = ReadSnapshot(reader);
  } else {
    reader.ReportError("kind", "is not a known kind of record: " + kind);
  }
  // Unknown keys are ignored: during a rolling upgrade, later versions may add
  // some.
  if (!errors.empty()) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "log.decode",
                 .message = FormatFieldErrors(errors)};
  }
  return out;
}

}  // namespace marjoramplank
