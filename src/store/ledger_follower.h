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
#include "src/store/retry_backoff.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

// State of a process's replay of the ledger.
struct LedgerView {
  bool loaded = false;           // A snapshot was restored, or there is none.
  std::int64_t position = 0;     // First offset that is not applied yet.
  bool was_read_to_end = false;  // The log, once since the start.
  Time as_of{0};  // The log ended at `position` at some instant after this.
  Time readable_since{0};  // Reads have succeeded without a failure since then.
};

// Replays the ledger: restores the newest snapshot, then applies the log.
class LedgerFollower {
 public:
  struct Options {
    LogPartition records;    // Ledger topic.
    LogPartition snapshots;  // Keyed topic.
    // Wait of a read at the end of the log; bounds the age of the view.
    Duration poll_wait{500};
    // True: if the log has deleted records and the log service answers that no
    // snapshot covers them, publishes its own state as the snapshot from which
    // all processes continue.
    bool adopt_state_after_gap = false;
    // Between failed reads of a snapshot. Agents wait longer: they outnumber
    // the entries, which they need.
    RetryBackoff::Options restore_retry;
  };

  // `catch_up_store` reads records that the first connection does not deliver
  // in time.
  LedgerFollower(Options options,
                 std::unique_ptr<LogStore> store,
                 std::unique_ptr<LogStore> catch_up_store,
                 Metrics& metrics);
  ~LedgerFollower();

  // Call when the log is known to reach at least `end`. If the long poll does
  // not deliver the records soon, the second connection reads them.
  void ExpectEnd(std::int64_t end);
  RecordRing& ring() { return ring_; }  // Records read, for relaying.
  // What it has seen in the topic of the snapshots; for other writers of it.
  SnapshotParts& snapshot_parts() { return snapshot_parts_; }
  // Called on the follower's threads, with the ledger, after each record that
  // had an effect.
  using OnRecord = std::function<
      void(const Ledger&, const LedgerRecord&, std::int64_t offset)>;
  void SetOnRecord(OnRecord on_record) { on_record_ = std::move(on_record); }
  // The same after each record without effect.
  using OnVoid = std::function<void(const LedgerRecord&, std::int64_t offset)>;
  void SetOnVoid(OnVoid on_void) { on_void_ = std::move(on_void); }
  // Called on the follower's thread after the log has deleted unread records
  // and a snapshot that covers them was restored.
  void SetOnGap(std::function<void()> on_gap) { on_gap_ = std::move(on_gap); }
  void Start();
  // Least time between the starts of two reads, once the log was read to its
  // end. 0: each record is read as it comes.
  void SetReadInterval(Duration interval) { read_interval_ = interval; }

  LedgerView view() const;
  // Calls `f(ledger, view)` under a shared lock and returns its result.
  template <typename F>
  auto Read(F f) const {
    const std::shared_lock lock(ledger_mutex_);
    return f(ledger_, view_);
  }
  // Waits until the log is replayed up to `position`. Returns false on timeout.
  bool WaitForPosition(std::int64_t position, Duration timeout) const;
  // Waits for a change since `version` or the timeout; returns the current
  // version.
  std::uint64_t WaitForChange(std::uint64_t version, Duration timeout) const;

 private:
  enum class RestoreResult {
    kRestored,
    kUnanswered,  // The log service could not be read.
    kNoneCovers,  // It was read; no snapshot reaches the position.
  };

  void Loop();
  RestoreResult Restore(std::int64_t min_position);
  void WaitToRestore();
  Duration ReadTimeout() const;
  void HandleGap(std::int64_t first_retained);
  void AdoptState(std::int64_t first_retained);
  void ApplyRecords(const ReadResult& read, Time sent_at);
  void PauseUntilNextRead(Time sent_at);
  void CatchUpLoop();
  void NotifyChange();

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  const std::unique_ptr<LogStore> catch_up_store_;
  Metrics& metrics_;
  std::function<void()> on_gap_;
  OnRecord on_record_;
  OnVoid on_void_;
  mutable std::shared_mutex ledger_mutex_;  // Guards ledger_ and view_.
  Ledger ledger_;
  LedgerView view_;
  mutable std::mutex change_mutex_;
  mutable std::condition_variable change_condition_;
  std::uint64_t version_ = 0;
  std::int64_t expected_end_ = 0;  // Guarded by change_mutex_.
  RecordRing ring_;
  SnapshotParts snapshot_parts_;
  RetryBackoff restore_retry_;  // Used by the follower's thread only.
  // True: the next read returns all that was appended since the snapshot.
  std::atomic<bool> is_catching_up_{true};
  bool is_in_gap_ = false;  // Deleted records are not covered yet.
  // First answer that no snapshot covers the gap. 0: no such answer yet.
  Time uncovered_since_{0};
  std::atomic<Duration> read_interval_{Duration(0)};
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
  std::thread catch_up_thread_;
};

}  // namespace marjoramplank
