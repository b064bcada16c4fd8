#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/ledger_record.h"
#include "src/node/campaign_schedule.h"
#include "src/node/planner_fence.h"
#include "src/store/adaptive_timeout.h"
#include "src/store/append_limits.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// The elected planner, as this process has replayed it from the ledger.
struct PlannerView {
  std::string planner_id;     // Empty: no planner.
  std::int64_t epoch = 0;     // Epoch of the last election.
  Time last_heartbeat_at{0};  // When its last heartbeat was read.
  Time readable_since{0};     // Reads of the log have succeeded since then.
};

// Leader election for the planner: campaigns for leadership, appends decisions
// with a fencing token, and steps down when they cannot be stored. Used by one
// thread.
class PlannerLeadership {
 public:
  struct Options {
    std::string name;      // Name of the machine.
    LogPartition records;  // Ledger topic.
    // An entry campaigns if the planner's last heartbeat is older than this:
    // three heartbeat intervals and a slow answer of the log service.
    Duration election_timeout{1300};
    // A draining entry waits this long before it campaigns for a vacant
    // leadership, so that other entries come first.
    Duration draining_delay{150};
    // Longest wait for the append that raises the fence. A log service that
    // answers within this counts as slow, not as unreachable.
    Duration fence_timeout{250};
    // The planner steps down if no append was stored for this long: a quarter
    // of the election timeout, after which the other entries would take over.
    Duration step_down_after{300};
    // The same if appends are refused because too many wait, or not answered
    // while reads of the log are: the log service is slow for all, and another
    // planner would not be faster.
    Duration step_down_after_if_readable{1300};
    // When the newest successful read of the log was sent. Empty: not known.
    std::function<Time()> last_read_at;
    // The timeout of the planner's appends grows above the queue of the log
    // service, which refuses an append that would wait for more than 2 s: with
    // a lower one, a slow log service stores appends of which the planner never
    // hears.
    AdaptiveTimeout::Options append_timeout{.max_timeout = Duration{2200}};
    // Longest timeout of an election, during which the entry does nothing else,
    // and of appends while reads of the log are not answered either.
    Duration max_timeout_otherwise{900};
    AppendLimits::Options limits;
    // No further part of a plan is begun after this: the next plan has the
    // planner's heartbeat, and a newer state.
    Duration max_append_time{400};
  };
  // Appends a record over any route that still works, without waiting.
  using FallbackAppend = std::function<void(LedgerRecord)>;

  PlannerLeadership(Options options,
                    std::unique_ptr<LogStore> store,
                    FallbackAppend fallback_append);

  // Unique for each run of the process.
  const std::string& id() const { return id_; }
  LogStore& store() { return *store_; }

  bool IsLeader(const PlannerView& planner_view) const;
  // `entries`: number of entries that may campaign.
  bool MayCampaign(const PlannerView& planner_view,
                   Time now,
                   bool is_draining,
                   std::size_t entries);

  // Returns the end of the log after the append, or nothing if it is not known
  // to be stored.
  std::optional<std::int64_t> Campaign(std::int64_t epoch);
  // Appends the records in parts that each fit into one call. Stops at the
  // first part that is not known to be stored, and returns the end of the log
  // after the part before it. Leaves out a record that is too large.
  std::optional<std::int64_t> Append(const std::vector<LedgerRecord>& records,
                                     std::int64_t epoch);
  // First tasks of the units whose start was left out. Planned again, it would
  // be left out again, and its capacity would be kept from others.
  const std::set<TaskRef>& oversized_starts() const {
    return oversized_starts_;
  }

 private:
  CampaignSchedule::Failure ElectionFailure(const AppendResult& result) const;
  // Encodes the records: without their checkpoints, or not at all, if they are
  // too large.
  std::vector<std::string> EncodeAppendable(
      const std::vector<LedgerRecord>& records);
  void OnAppendFailed(const AppendResult& result,
                      Time sent_at,
                      std::int64_t epoch);
  AppendResult AppendFenced(const std::vector<std::string>& records,
                            std::int64_t epoch,
                            Duration timeout);
  void RaiseFence();
  void StepDown(std::int64_t epoch, Duration failing_for);
  Duration StepDownAfter(const AppendResult& result) const;
  // Whether a read of the log was answered within the election timeout.
  bool IsReadable(Time now) const;
  Duration ElectionAppendTimeout() const;
  Duration PlannerAppendTimeout(Time now) const;

  const Options options_;
  const std::string id_;
  const std::unique_ptr<LogStore> store_;
  const FallbackAppend fallback_append_;
  CampaignSchedule schedule_;
  std::int64_t scheduled_epoch_ = 0;  // Of the last planner that was seen.
  PlannerFence fence_;
  // The last election had no answer and may have been stored all the same.
  bool election_unconfirmed_ = false;
  AdaptiveTimeout append_timeout_;
  AppendLimits limits_;
  std::set<TaskRef> oversized_starts_;
  // Epoch in which this process was fenced off or stepped down.
  std::int64_t relinquished_epoch_ = -1;
  Time failing_since_{0};  // 0: the last append was stored.
};

}  // namespace marjoramplank
