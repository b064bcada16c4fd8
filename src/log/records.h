#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/job_spec.h"
#include "marjoramplank/job_state.h"
#include "marjoramplank/placement.h"

namespace marjoramplank {

// Position of a record in the platform's log. Increases; gaps may occur.
using Offset = std::int64_t;
inline constexpr Offset kNoOffset = -1;

// Records of the system's stream on the platform's log. All processes replay
// them in order and reach the same verdicts. Records are idempotent: an append
// whose answer was lost may be repeated.

// A submitted job. The first record of a job id takes effect; a later one with
// another digest is a conflict.
struct AcceptedRecord {
  std::string job;
  JobSpec spec;
  std::string region;       // Region that plans the job.
  std::string traceparent;  // W3C trace context of the request.

  friend bool operator==(const AcceptedRecord&,
                         const AcceptedRecord&) = default;
};

// A request to cancel a job. If it precedes the job's AcceptedRecord, the job
// is withdrawn and provably never runs.
struct CancelRecord {
  std::string job;

  friend bool operator==(const CancelRecord&, const CancelRecord&) = default;
};

// A member of an attempt: the agent process run that holds the grant, and the
// placements it granted.
struct AttemptMember {
  std::string worker;
  std::uint64_t incarnation = 0;
  std::vector<TaskPlacement> placements;

  friend bool operator==(const AttemptMember&, const AttemptMember&) = default;
};

// An attempt that the entry process is about to commit. The first record of
// (job, attempt) takes effect. No task of the attempt starts before it is on
// the log, except for idempotent jobs during a log outage.
struct AttemptRecord {
  std::string job;
  std::int32_t attempt = 0;
  std::string entry;  // Entry process, "name#incarnation".
  std::vector<AttemptMember> members;

  friend bool operator==(const AttemptRecord&, const AttemptRecord&) = default;
};

// The outcome of a job after its latest attempt, `attempt`. Void if the log
// holds a later attempt. The first valid record takes effect.
struct EndedRecord {
  std::string job;
  std::int32_t attempt = 0;
  JobOutcome outcome;

  friend bool operator==(const EndedRecord&, const EndedRecord&) = default;
};

// A change of the operators' document, made from version `base`. A conflict
// unless `base` is the current version.
struct ConfigRecord {
  Offset base = kNoOffset;  // kNoOffset: there was no earlier version.
  // Chosen by the entry that received the change. Distinguishes a repeated
  // append from a concurrent change.
  std::string change_id;
  std::string author;
  std::string document;  // JSON text of the inventory.

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// An entry instance has joined or left.
struct MemberRecord {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;  // "IP:port" of its RPC listener.
  bool joined = true;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// One part of a snapshot of the replayed state. Snapshots let older records
// expire.
struct SnapshotRecord {
  std::string id;
  Offset as_of = kNoOffset;  // The last record that the state includes.
  std::int32_t part = 0;
  std::int32_t parts = 1;
  std::string body;  // JSON text; see log_state_snapshot.cc.

  friend bool operator==(const SnapshotRecord&,
                         const SnapshotRecord&) = default;
};

using LogRecord = std::variant<AcceptedRecord,
                               CancelRecord,
                               AttemptRecord,
                               EndedRecord,
                               ConfigRecord,
                               MemberRecord,
                               SnapshotRecord>;

// JSON text of a record, on one line.
std::string Encode(const LogRecord& record);

// Parses a record. Returns an error for any text that is not a valid record.
Result<LogRecord> DecodeLogRecord(const std::string& text);

}  // namespace marjoramplank
