#include "src/codec/job_codec.h"

#include <xxhash.h>

#include <cstdio>

namespace marjoramplank {

namespace {

constexpr JobState kAllJobStates[] = {
    JobState::kQueued, JobState::kStarting,  JobState::kRunning,
    JobState::kDone,   JobState::kFailed,    JobState::kCancelled,
    JobState::kNotRun, JobState::kMayHaveRun};

// Reads an enumerator by its name. Reports an error that lists the valid
// names if no enumerator has it.
template <typename E, std::size_t N>
void ReadEnum(ObjectReader& reader,
              const char* key,
              const E (&enumerators)[N],
              E& out) {
  std::string name;
  if (!reader.Read(key, name)) {
    return;
  }
  std::string valid_names;
  for (const E e : enumerators) {
    if (name == ToString(e)) {
      out = e;
      return;
    }
    valid_names += (valid_names.empty() ? "" : ", ") + std::string(ToString(e));
  }
  reader.ReportError(key, "must be one of: " + valid_names);
}

}  // namespace

Poco::JSON::Object::Ptr ToJson(const JobSpec& spec) {
  Poco::JSON::Object::Ptr out =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  out->set("request_id", spec.request_id);
  out->set("account", spec.account);
  out->set("region", spec.region);
  out->set("tasks", spec.tasks);
  out->set("cores", spec.shape.cores);
  out->set("memory_mb", spec.shape.memory_mb);
  out->set("accelerators", spec.shape.accelerators);
  out->set("adjacency", std::string(ToString(spec.adjacency)));
  out->set("priority", std::string(ToString(spec.priority)));
  out->set("idempotent", spec.idempotent);
  out->set("checkpointable", spec.checkpointable);
  out->set("expected_run_time_ms", spec.expected_run_time.count());
  out->set("queue_deadline_ms", spec.queue_deadline.count());
  out->set("payload", spec.payload);
  return out;
}

JobSpec ReadJobSpec(ObjectReader& reader) {
  using Need = ObjectReader::Need;
  JobSpec spec;
  reader.Read("request_id", spec.request_id, Need::kRequired);
  reader.Read("account", spec.account, Need::kRequired);
  reader.Read("region", spec.region);
  reader.Read("tasks", spec.tasks);
  reader.Read("cores", spec.shape.cores);
  reader.Read("memory_mb", spec.shape.memory_mb);
  reader.Read("accelerators", spec.shape.accelerators);
  ReadEnum(reader, "adjacency",
           {Adjacency::kWorker, Adjacency::kRack, Adjacency::kDataCentre,
            Adjacency::kRegion},
           spec.adjacency);
  ReadEnum(reader, "priority", {Priority::kNormal, Priority::kUrgent},
           spec.priority);
  reader.Read("idempotent", spec.idempotent);
  reader.Read("checkpointable", spec.checkpointable);
  reader.Read("expected_run_time_ms", spec.expected_run_time);
  reader.Read("queue_deadline_ms", spec.queue_deadline);
  reader.Read("payload", spec.payload);
  return spec;
}

Poco::JSON::Object::Ptr ToJson(const JobOutcome& outcome) {
  Poco::JSON::Object::Ptr out =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  out->set("state", std::string(ToString(outcome.state)));
  out->set("step", outcome.step);
  out->set("peer", outcome.peer);
  out->set("reason", outcome.reason);
  Poco::JSON::Array::Ptr parts = new Poco::JSON::Array;
  for (const std::string& part : outcome.task_results) {
    parts->add(part);
  }
  out->set("parts", parts);
  return out;
}

JobOutcome ReadJobOutcome(ObjectReader& reader) {
  JobOutcome outcome;
  ReadEnum(reader, "state", kAllJobStates, outcome.state);
  reader.Read("step", outcome.step);
  reader.Read("peer", outcome.peer);
  reader.Read("reason", outcome.reason);
  reader.Read("parts", outcome.task_results);
  return outcome;
}

std::string ComputeJobDigest(const JobSpec& spec) {
  const std::string text = ToText(ToJson(spec));
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  char out[33];
  std::snprintf(out, sizeof out, "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return out;
}

}  // namespace marjoramplank
