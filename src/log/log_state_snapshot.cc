#include "src/codec/job_codec.h"
#include "src/log/log_state.h"

namespace marjoramplank {

// Body of a snapshot part: {"jobs": [...], "config": {...}, "members": [...]}.
// The first part holds the configuration and the members. Live jobs include
// their whole request, ended jobs only their digest and end state.

namespace {

using Need = ObjectReader::Need;
using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr NewObject() {
  return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Object::Ptr JobToJson(const std::string& id, const LoggedJob& job) {
  Object::Ptr out = NewObject();
  out->set("job", id);
  out->set("account", job.account);
  out->set("request_id", job.request_id);
  out->set("digest", job.digest);
  out->set("region", job.region);
  out->set("traceparent", job.traceparent);
  out->set("withdrawn", job.withdrawn);
  out->set("cancelled", job.cancelled);
  out->set("attempt", job.attempt);
  out->set("ended", job.ended);
  out->set("end_state", static_cast<std::int32_t>(job.end_state));
  out->set("ended_at", job.outcome_offset);
  if (job.spec != nullptr) {
    out->set("spec", ToJson(*job.spec));
  }
  if (job.latest_attempt) {
    out->set("latest", Encode(*job.latest_attempt));
  }
  return out;
}

LoggedJob ReadJob(ObjectReader& reader, std::string& id) {
  LoggedJob job;
  std::int32_t end_state = 0;
  std::string latest;
  reader.Read("job", id, Need::kRequired);
  reader.Read("account", job.account);
  reader.Read("request_id", job.request_id);
  reader.Read("digest", job.digest);
  reader.Read("region", job.region);
  reader.Read("traceparent", job.traceparent);
  reader.Read("withdrawn", job.withdrawn);
  reader.Read("cancelled", job.cancelled);
  reader.Read("attempt", job.attempt);
  reader.Read("ended", job.ended);
  reader.Read("end_state", end_state);
  reader.Read("ended_at", job.outcome_offset);
  reader.ReadObject("spec", [&](ObjectReader& r) {
    job.spec = std::make_shared<const JobSpec>(ReadJobSpec(r));
  });
  job.end_state = static_cast<JobState>(end_state);
  if (reader.Read("latest", latest)) {
    const Result<LogRecord> record = DecodeLogRecord(latest);
    if (const LogRecord* r = std::get_if<LogRecord>(&record);
        r != nullptr && std::holds_alternative<AttemptRecord>(*r)) {
      job.latest_attempt = std::get<AttemptRecord>(*r);
    } else {
      reader.ReportError("latest", "is not an attempt record");
    }
  }
  return job;
}

Object::Ptr ConfigToJson(const ConfigVersion& config) {
  Object::Ptr out = NewObject();
  out->set("version", config.version);
  out->set("change_id", config.change_id);
  out->set("author", config.author);
  out->set("document",
           config.document == nullptr ? std::string{} : *config.document);
  return out;
}

ConfigVersion ReadConfig(ObjectReader& reader) {
  ConfigVersion out;
  std::string document;
  reader.Read("version", out.version, Need::kRequired);
  reader.Read("change_id", out.change_id, Need::kRequired);
  reader.Read("author", out.author);
  reader.Read("document", document);
  if (!document.empty()) {
    out.document = std::make_shared<const std::string>(std::move(document));
  }
  return out;
}

}  // namespace

std::vector<SnapshotRecord> LogState::Snapshot(const std::string& id,
                                               std::size_t part_bytes) const {
  std::vector<SnapshotRecord> out;
  Object::Ptr body = NewObject();
  Array::Ptr jobs = new Array;
  std::size_t bytes = 0;
  const auto finish_part = [&] {
    body->set("jobs", jobs);
    out.push_back({.id = id,
                   .as_of = position_,
                   .part = static_cast<std::int32_t>(out.size()),
                   .body = ToText(body)});
    body = NewObject();
    jobs = new Array;
    bytes = 0;
  };
  Array::Ptr history = new Array;
  for (const ConfigVersion& version : history_) {
    history->add(ConfigToJson(version));
  }
  body->set("config", ConfigToJson(config_));
  body->set("history", history);
  Array::Ptr members = new Array;
  for (const auto& [name, member] : members_) {
    members->add(Encode(member));
  }
  body->set("members", members);
  const auto add_job = [&](const std::string& job_id, const LoggedJob& job) {
    constexpr std::size_t kBytesPerEndedJob = 300;
    bytes += kBytesPerEndedJob +
             (job.spec == nullptr ? 0 : job.spec->payload.size());
    jobs->add(JobToJson(job_id, job));
    if (bytes >= part_bytes) {
      finish_part();
    }
  };
  // Oldest first, so that Restore() keeps the order of eviction.
  for (const std::string& job : ended_jobs_order_) {
    add_job(job, jobs_.at(job));
  }
  for (const auto& [job, logged_job] : jobs_) {
    if (!logged_job.ended) {
      add_job(job, logged_job);
    }
  }
  finish_part();
  for (SnapshotRecord& part : out) {
    part.parts = static_cast<std::int32_t>(out.size());
  }
  return out;
}

bool LogState::Restore(const std::vector<SnapshotRecord>& parts) {
  LogState next(options_);
  std::vector<FieldError> errors;
  for (const SnapshotRecord& part : parts) {
    const Result<Object::Ptr> parsed = ParseObject(part.body);
    if (!IsOk(parsed)) {
      return false;
    }
    ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
    reader.ReadObject("config",
                      [&](ObjectReader& r) { next.config_ = ReadConfig(r); });
    reader.ReadObjects("history", [&](ObjectReader& r) {
      next.history_.push_back(ReadConfig(r));
    });
    std::vector<std::string> members;
    reader.Read("members", members);
    for (const std::string& text : members) {
      const Result<LogRecord> record = DecodeLogRecord(text);
      if (const LogRecord* r = std::get_if<LogRecord>(&record);
          r != nullptr && std::holds_alternative<MemberRecord>(*r)) {
        next.ApplyMember(std::get<MemberRecord>(*r));
      }
    }
    reader.ReadObjects("jobs", [&](ObjectReader& r) {
      std::string id;
      LoggedJob job = ReadJob(r, id);
      const bool ended = job.ended;
      if (!ended && job.attempt == 0) {
        next.AddWaitingJobs(job.account, 1);
      }
      next.jobs_[id] = std::move(job);
      if (ended) {
        next.RememberEndedJob(id);
      }
    });
    next.position_ = part.as_of;
  }
  if (!errors.empty() || parts.empty()) {
    return false;
  }
  *this = std::move(next);
  return true;
}

}  // namespace marjoramplank
