#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramplank/planner.h"
#include "src/entry/appender.h"
#include "src/entry/entry_io.h"
#include "src/entry/gang.h"
#include "src/entry/membership.h"
#include "src/log/log_state.h"
#include "src/observability/metrics.h"

namespace marjoramplank {

struct EntryOptions {
  MembershipOptions membership;
  Appender::Options appender;
  LogStateOptions log_state;
  PlannerOptions planner;  // `region` is set for each planner.
  // Maximum age of the last complete log read for the state to be fresh.
  Duration freshness_window = 800ms;
  Duration agent_timeout = 2s;   // A silent agent gets no new work.
  Duration member_timeout = 6s;  // A silent gang member counts as lost.
  // Delay of planning after a takeover, for the agents' reports.
  Duration takeover_settle_delay = 1s;
  // Wait for the members of a run that is taken over.
  Duration adopt_timeout = 4s;
  Duration prepare_timeout = 1s;
  Duration grant_ttl = 5s;  // Uncommitted grants expire after this time.
  Duration commit_timeout = 3s;
  Duration resend_interval = 250ms;
  // Interval of the search for live jobs that no planner has.
  Duration sweep_interval = 5s;
  // A snapshot is due after this time, well below the log's retention, or
  // after this number of records.
  Duration snapshot_interval = 1h;
  std::int64_t snapshot_records = 20'000;
  std::size_t snapshot_part_bytes = 256 * 1024;
  // Answers kept in memory; older ones are read from the log.
  std::size_t answer_cache_bytes = 32 << 20;
  // Submissions being recorded. Over half of it, accounts get fair shares.
  std::size_t max_pending_submits = 4'096;
  std::size_t max_spans = 20'000;
  std::int64_t wall_offset_ms = 0;  // Added to Time for spans and reports.
};

struct PendingSubmit {
  CallToken token = 0;
  Time received_at{0};
  Time deadline{0};
};

// A submitted job whose record was not read back from the log yet.
struct Submission {
  std::string line;  // Encoded record.
  std::string account;
  std::string digest;
  std::vector<PendingSubmit> callers;
};

struct PendingWait {
  CallToken token = 0;
  Time deadline{0};
};

struct PendingConfig {
  CallToken token = 0;
  Time deadline{0};
};

struct PendingQuery {
  CallToken token = 0;
  Time deadline{0};
  std::size_t expected_replies = 1;  // Including this process's own.
  std::vector<std::string> bodies;   // Replies so far, as JSON text.
};

struct AgentState {
  AgentReport report;  // Latest report.
  Time last_report_at{0};
  bool up_at_planner = false;  // Availability last passed to the planner.
};

struct RegionState {
  std::unique_ptr<Planner> planner;  // Null: another entry owns the region.
  std::string candidate_owner;       // Owner according to the membership.
  Time candidate_since{0};
  Time taken_over_at{0};
  bool jobs_recovered = false;  // The planner has the region's live jobs.
};

// Answers of ended jobs, up to EntryOptions::answer_cache_bytes.
struct AnswerCache {
  std::unordered_map<std::string, std::string> bodies;  // JSON text by job id.
  std::list<std::string> insertion_order;               // Oldest first.
  std::size_t bytes = 0;
};

// Complete state of an entry. Plain data: the functions in the other headers of
// this folder operate on it.
struct EntryState {
  EntryOptions options;
  Metrics* metrics = nullptr;  // Required; outlives the state.
  LogState log;
  Appender appender;
  Membership membership;
  bool caught_up = false;  // The log was read to its end at least once.
  // Request time of the last read that reached the end of the log.
  Time last_complete_read_at{-1'000'000};
  bool last_read_ok = false;  // The latest read succeeded.
  Offset log_end = 0;
  // Lines read before a usable snapshot was found.
  std::vector<LogLine> bootstrap_lines;
  // Parts read so far, by snapshot id and part number.
  std::map<std::string, std::map<std::int32_t, SnapshotRecord>> snapshot_parts;
  // Offset of the latest complete snapshot on the log.
  Offset last_snapshot_offset = kNoOffset;
  Time last_snapshot_at{0};
  bool rebuilding = true;  // The state is incomplete until it is restored.

  ConfigSnapshot config;
  // Points into config.inventory.
  std::unordered_map<std::string, const WorkerSpec*> worker_by_name;
  std::uint64_t config_change_count = 0;

  std::unordered_map<std::string, AgentState> agents;
  // Instance names of the connected entries and agents.
  std::set<std::string> connected_peers;
  std::map<std::string, RegionState> regions;
  std::unordered_map<std::string, Gang> gangs;  // By job.
  // Jobs with a gang member on the worker.
  std::unordered_map<std::string, std::set<std::string>> gangs_by_worker;
  // Highest attempt number used, by job.
  std::unordered_map<std::string, std::int32_t> last_attempt;
  // Appended outcomes that were not read back from the log yet, by job.
  std::unordered_map<std::string, EndedRecord> pending_outcomes;
  // Jobs submitted to this process, for the latency metrics.
  std::unordered_map<std::string, Time> submitted_at;
  // Live jobs without an attempt during a log outage. Another planner may have
  // started them without a record.
  std::set<std::string> waiting_during_outage;

  std::unordered_map<std::string, Submission> submissions;  // By job.
  std::unordered_map<std::string, std::size_t> submissions_by_account;
  // By job.
  std::unordered_map<std::string, std::vector<PendingWait>> pending_waits;
  // By change id.
  std::unordered_map<std::string, PendingConfig> pending_config_changes;
  std::map<std::uint64_t, PendingQuery> pending_queries;  // By query id.
  // Job and callers of each open FetchRecord, by its id.
  std::unordered_map<std::uint64_t,
                     std::pair<std::string, std::vector<CallToken>>>
      pending_fetches;
  std::uint64_t next_id = 1;
  AnswerCache answer_cache;
  std::deque<Span> spans;

  bool is_leaving = false;  // BeginShutdown was received.
  Time leaving_since{0};
  bool listed_as_member = false;  // The log lists this process as a member.
  Time membership_sent_at{-1'000'000};  // Last append of a membership record.
  Time last_heartbeat_at{-1'000'000};
  Time last_sweep_at{0};
  std::vector<EntryOutput> outputs;

  EntryState(EntryOptions o, Metrics* m)
      : options(std::move(o)),
        metrics(m),
        log(options.log_state),
        appender(options.appender),
        membership(options.membership) {}

  void Send(const std::string& peer, Message message) {
    outputs.emplace_back(
        SendToPeer{.peer = peer, .message = std::move(message)});
  }
  std::string SelfId() const { return ToString(options.membership.self); }
};

// Returns true if this process has the latest accepted configuration.
bool HasFreshConfig(const EntryState& s, Time now);

// Returns true if the log was read to its end recently.
bool IsLogReadable(const EntryState& s, Time now);

}  // namespace marjoramplank
