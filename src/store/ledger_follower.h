#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <thread>

#include "src/jobs/ledger.h"
#include "src/observability/metrics.h"
#include "src/store/log_store.h"
#include "src/store/record_ring.h"

namespace marjoramplank {

// How far a process's replay of the ledger is, and how old that knowledge is.
struct LedgerView {
  bool loaded = false;        // A snapshot or the beginning has been read.
  std::int64_t position = 0;  // First offset that is not applied.
  Time as_of{0};  // The log ended at `position` at some instant after this.
  Time readable_since{0};  // Reads have succeeded without a gap since then.
};

// Replays the ledger: restores the newest snapshot, then reads the log on.
class LedgerFollower {
 public:
  struct Options {
    LogPartition records;
    LogPartition snapshots;  // Of a keyed topic.
    Duration poll_wait{
        500};  // Wait of a read at the log's end; bounds the age.
    bool adopt_state_after_gap =
        false;  // After records were lost that no snapshot covers:
                // publishes its own state as the new beginning.
  };

  // `second` reads what the first connection does not bring in time.
  LedgerFollower(Options options,
                 std::unique_ptr<LogStore> store,
                 std::unique_ptr<LogStore> catch_up_store,
                 Metrics& metrics);
  ~LedgerFollower();

  // Says that the log reaches at least this far. If the waiting read does not
  // bring it soon, it is read at once on the second connection.
  void ExpectEnd(std::int64_t end);
  RecordRing& ring() { return ring_; }  // What was read, for others.
  // Called on the follower's thread with the ledger after each record.
  using OnRecord = std::function<
      void(const Ledger&, const LedgerRecord&, std::int64_t offset)>;
  void SetOnRecord(OnRecord on_record) { on_record_ = std::move(on_record); }
  // Called on the follower's thread after records were lost unread.
  void SetOnGap(std::function<void()> on_gap) { on_gap_ = std::move(on_gap); }
  void Start();

  LedgerView view() const;
  // Runs `f(ledger, view)` with the ledger locked for reading.
  template <typename F>
  auto Read(F f) const {
    const std::shared_lock lock(ledger_mutex_);
    return f(ledger_, view_);
  }
  // Waits until the position is at least this, or the time has passed.
  bool WaitForPosition(std::int64_t position, Duration timeout) const;
  // Waits for any change since `version`; returns the version now.
  std::uint64_t WaitForChange(std::uint64_t version, Duration timeout) const;

 private:
  void Loop();
  bool Restore(std::int64_t min_position);
  void HandleGap(std::int64_t first);
  void ApplyRecords(const ReadResult& read, Time sent_at);
  void CatchUpLoop();
  void NotifyChange();

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  const std::unique_ptr<LogStore> catch_up_store_;
  Metrics& metrics_;
  std::function<void()> on_gap_;
  OnRecord on_record_;
  mutable std::shared_mutex ledger_mutex_;  // Guards ledger_ and view_.
  Ledger ledger_;
  LedgerView view_;
  mutable std::mutex change_mutex_;
  mutable std::condition_variable change_condition_;
  std::uint64_t version_ = 0;
  std::int64_t expected_end_ = 0;  // Under change_mutex_.
  RecordRing ring_;
  Time gap_since_{0};  // 0: none.
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
  std::thread catch_up_thread_;
};

}  // namespace marjoramplank
