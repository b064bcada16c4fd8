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
#include "src/store/answer_patience.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Appends records to the ledger in the order they were given, several in one
// call. Repeats an append until it is stored or its deadline passes; records
// are idempotent, so a repeat after a lost answer does no harm.
class LedgerWriter {
 public:
  enum class Outcome {
    kStored,
    kNotStored,  // It is not on the log and never will be.
    kUnknown,    // It may come onto the log, also later.
  };
  struct Item {
    LedgerRecord record;
    Time deadline = kNever;  // Gives up then.
    // Called on the writer's thread. `sent` is when the call that stored it
    // was made.
    std::function<void(Outcome, Time sent_at)> on_done;
  };

  struct Options {
    LogPartition partition;
    AdaptiveTimeout::Options append_timeout;
  };

  LedgerWriter(Options options,
               std::unique_ptr<LogStore> store,
               Metrics& metrics);
  ~LedgerWriter();

  // Called on the writer's thread with the end of what has been stored.
  void SetOnStored(std::function<void(std::int64_t end)> on_stored) {
    on_stored_ = std::move(on_stored);
  }
  // True while the last append had no success; others may have a better way.
  bool is_failing() const { return is_failing_; }

  void Append(Item item);
  Outcome AppendAndWait(LedgerRecord record, Time deadline);

  // Appends again what was stored since the time of the given number of
  // milliseconds: after the log has lost records that nobody may have read.
  void ReappendRecent();

  // Waits until everything is stored, or the time has passed.
  void Drain(Duration timeout);

 private:
  struct Pending {
    Item item;
    std::string bytes;
    bool maybe_stored = false;  // An attempt had no answer.
  };
  struct RecentRecord {
    Time stored_at{0};
    LedgerRecord record;
  };

  void Loop();
  AppendResult TryAppend(const std::vector<Pending>& batch, Time sent_at);
  std::vector<Pending> TakeBatch();
  void ExpireOverdue(std::vector<Pending>& batch, Time now);
  void Complete(std::vector<Pending>& batch, Outcome outcome, Time sent_at);
  void KeepRecent(const std::vector<Pending>& batch, Time now);

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  Metrics& metrics_;
  std::mutex mutex_;  // Guards the three below.
  std::condition_variable queue_changed_;
  std::deque<Pending> queue_;
  std::deque<RecentRecord> recent_;
  bool batch_in_flight_ = false;
  AdaptiveTimeout append_timeout_;  // Of the writer's thread.
  std::function<void(std::int64_t)> on_stored_;
  std::atomic<bool> is_failing_{false};
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace marjoramplank
