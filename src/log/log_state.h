#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/log/records.h"

namespace marjoramplank {

// State of one job according to the log.
struct LoggedJob {
  // Null once the job has ended; only the digest is kept.
  std::shared_ptr<const JobSpec> spec;
  std::string account;
  std::string request_id;
  std::string digest;
  std::string region;
  std::string traceparent;
  bool withdrawn = false;  // Cancelled before its request: never runs.
  bool cancelled = false;
  std::int32_t attempt = 0;  // Number of the latest attempt. 0: none.
  // Record of the latest attempt. Empty once the job has ended.
  std::optional<AttemptRecord> latest_attempt;
  bool ended = false;
  JobState end_state = JobState::kFailed;
  Offset outcome_offset = kNoOffset;  // Offset of the outcome's record.

  bool IsLive() const { return spec != nullptr && !ended && !withdrawn; }
};

// A version of the operators' document.
struct ConfigVersion {
  Offset version = kNoOffset;  // Offset of its ConfigRecord.
  std::string change_id;
  std::string author;
  // JSON text. Null for older versions.
  std::shared_ptr<const std::string> document;
};

// Effect of a record on the state of the process that replays it.
enum class Verdict {
  kApplied,   // It took effect.
  kRepeated,  // No effect: an equal record precedes it.
  kConflict,  // No effect: a contradicting record precedes it.
  kVoid,      // No effect: ended job, outdated attempt or unknown subject.
};

// A record's offset and verdict.
struct ApplyResult {
  Offset offset = kNoOffset;
  Verdict verdict = Verdict::kVoid;
};

struct LogStateOptions {
  // Ended jobs kept to recognize repeated requests. The oldest are evicted.
  std::size_t max_ended_jobs = 200'000;
  std::size_t max_config_versions = 200;  // Length of config_history().
};

// State that each process derives from the log alone by replaying its records
// in order. Deterministic: the same records give the same state in every
// process.
class LogState {
 public:
  explicit LogState(LogStateOptions options = {}) : options_(options) {}

  ApplyResult Apply(Offset offset, const LogRecord& record);

  // Offset of the last record applied. kNoOffset: none.
  Offset position() const { return position_; }

  // Returns nullptr if the job is not on the log or was evicted.
  const LoggedJob* FindJob(const std::string& job) const;
  const std::unordered_map<std::string, LoggedJob>& jobs() const {
    return jobs_;
  }
  const ConfigVersion& config() const { return config_; }
  const std::deque<ConfigVersion>& config_history() const { return history_; }

  // Number of live jobs without an attempt, of one account and in total.
  std::int32_t WaitingJobs(const std::string& account) const;
  std::int32_t total_waiting_jobs() const { return total_waiting_jobs_; }

  // Joined entries, by name.
  const std::map<std::string, MemberRecord>& members() const {
    return members_;
  }

  // Returns records from which Restore() rebuilds this state. Each is about
  // `part_bytes` long at most.
  std::vector<SnapshotRecord> Snapshot(const std::string& id,
                                       std::size_t part_bytes) const;

  // Replaces the state by that of a snapshot, given all its parts in order.
  // Returns false, and changes nothing, if the parts are invalid.
  bool Restore(const std::vector<SnapshotRecord>& parts);

 private:
  Verdict ApplyAccepted(const AcceptedRecord& r);
  Verdict ApplyCancel(const CancelRecord& r);
  Verdict ApplyAttempt(const AttemptRecord& r);
  Verdict ApplyEnded(Offset offset, const EndedRecord& r);
  Verdict ApplyConfig(Offset offset, const ConfigRecord& r);
  Verdict ApplyMember(const MemberRecord& r);
  void RememberEndedJob(const std::string& ended_job);
  void AddWaitingJobs(const std::string& account, std::int32_t change);

  LogStateOptions options_;
  Offset position_ = kNoOffset;
  std::unordered_map<std::string, LoggedJob> jobs_;
  std::deque<std::string> ended_jobs_order_;  // Ended jobs, oldest first.
  std::unordered_map<std::string, std::int32_t> waiting_jobs_by_account_;
  std::int32_t total_waiting_jobs_ = 0;
  ConfigVersion config_;
  std::deque<ConfigVersion> history_;
  std::map<std::string, MemberRecord> members_;
};

}  // namespace marjoramplank
