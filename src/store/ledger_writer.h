#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/jobs/ledger_record.h"
#include "src/observability/metrics.h"
#include "src/store/adaptive_timeout.h"
#include "src/store/append_limits.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Appends records to the ledger in order and in batches. Retries an append
// until it is stored or its deadline passes. Records are idempotent, so a retry
// after a lost answer does no harm.
class LedgerWriter {
 public:
  enum class Outcome {
    kStored,
    kNotStored,  // Not on the log, now or later.
    kUnknown,    // May be on the log, or be stored later.
  };
  struct Item {
    LedgerRecord record;
    Time deadline = kNever;  // Attempts stop after this.
    // Called on the writer's thread. `sent_at` is when the call that stored the
    // record was sent.
    std::function<void(Outcome, Time sent_at)> on_done;
  };

  struct Options {
    LogPartition partition;
    AdaptiveTimeout::Options append_timeout;
    AppendLimits::Options limits;
    // While only heartbeats wait, an append waits this long for more records to
    // share the call; longer on a log service that is slow, then also for other
    // records. 0: not at all.
    Duration heartbeat_linger{0};
  };

  LedgerWriter(Options options,
               std::unique_ptr<LogStore> store,
               Metrics& metrics);
  ~LedgerWriter();

  // Called on the writer's thread with the end of the log after each append.
  void SetOnStored(std::function<void(std::int64_t end)> on_stored) {
    on_stored_ = std::move(on_stored);
  }
  // True if the last append failed; callers may have a better route then.
  bool is_failing() const { return is_failing_; }

  void Append(Item item);
  Outcome AppendAndWait(LedgerRecord record, Time deadline);

  // Appends the recently stored records once more. Call after the log has
  // deleted records that other processes may not have read.
  void ReappendRecent();

  // Waits until all records are stored, or the timeout has passed.
  void Drain(Duration timeout);

 private:
  struct Pending {
    Item item;
    std::string bytes;
    bool maybe_stored = false;  // An attempt was not answered.
    Time queued_at{0};
  };
  struct RecentRecord {
    Time stored_at{0};
    LedgerRecord record;
  };

  void Loop();
  AppendResult TryAppend(const std::vector<Pending>& batch, Time sent_at);
  // Completes the records that are too large for the log service: any append
  // with them would be refused.
  void RejectOversized(std::vector<Pending>& batch, Time now);
  static std::vector<std::string> BytesOf(const std::vector<Pending>& batch);
  // Returns the records that do not fit into one call to the queue.
  void ShortenBatch(std::vector<Pending>& batch);
  std::vector<Pending> TakeBatch();
  // Whether the queue holds something to send now. Called with the lock.
  bool IsBatchDue(Time now) const;
  Duration HeartbeatLinger() const;
  // Least time between two appends for any records: the time of the last one,
  // if the log service is slow.
  Duration RecordLinger() const;
  // Completes the records that could not be stored before their deadline, by
  // the recent response times. A call that ends before the answer can come
  // would only add to the load of a slow log service.
  void ExpireOverdue(std::vector<Pending>& batch, Time now);
  // Completes the records in the queue whose deadline has passed, while the
  // batch before them is repeated.
  void ExpireQueued(Time now);
  void Complete(std::vector<Pending>& batch, Outcome outcome, Time sent_at);
  void KeepRecent(const std::vector<Pending>& batch, Time now);

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  Metrics& metrics_;
  std::mutex mutex_;  // Guards queue_, recent_ and batch_in_flight_.
  std::condition_variable queue_changed_;
  std::deque<Pending> queue_;
  std::deque<RecentRecord> recent_;
  bool batch_in_flight_ = false;
  // Both are used by the writer's thread only.
  AdaptiveTimeout append_timeout_;
  AppendLimits limits_;
  std::function<void(std::int64_t)> on_stored_;
  // Used by the writer's thread only.
  Duration last_append_time_{0};
  Time last_append_at_{0};
  std::atomic<bool> is_failing_{false};
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace marjoramplank
