#include "src/store/ledger_follower.h"

#include <algorithm>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

namespace {

// Time beyond the poll wait within which a read must be answered; after it, the
// connection counts as unresponsive and the read fails.
constexpr Duration kReadTimeoutSlack = 700ms;
// A record that is known to be stored is read on the second connection if the
// first has not delivered it for this long: several usual response times.
constexpr Duration kCatchUpDelay = 60ms;
constexpr Duration kCatchUpTimeout = 500ms;  // Of a read on the second one.
constexpr Duration kIdleWait = 500ms;
// Delay after a failed read of records; the next one may use another route.
constexpr Duration kRetryDelay = 60ms;
// After the answer that no snapshot covers a gap, the process waits this long
// for a snapshot of another process that has read further, before it publishes
// its own state.
constexpr Duration kAdoptDelay = 600ms;

}  // namespace

LedgerFollower::LedgerFollower(Options options,
                               std::unique_ptr<LogStore> store,
                               std::unique_ptr<LogStore> catch_up_store,
                               Metrics& metrics)
    : options_(std::move(options)),
      store_(std::move(store)),
      catch_up_store_(std::move(catch_up_store)),
      metrics_(metrics),
      restore_retry_(options_.restore_retry) {}

LedgerFollower::~LedgerFollower() {
  {
    const std::lock_guard lock(change_mutex_);
    stop_requested_ = true;
  }
  change_condition_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
    catch_up_thread_.join();
  }
}

void LedgerFollower::Start() {
  thread_ = std::thread([this] { Loop(); });
  catch_up_thread_ = std::thread([this] { CatchUpLoop(); });
}

LedgerView LedgerFollower::view() const {
  const std::shared_lock lock(ledger_mutex_);
  return view_;
}

void LedgerFollower::ExpectEnd(std::int64_t end) {
  {
    const std::lock_guard lock(change_mutex_);
    expected_end_ = std::max(expected_end_, end);
  }
  change_condition_.notify_all();
}

bool LedgerFollower::WaitForPosition(std::int64_t position,
                                     Duration timeout) const {
  const Time end = BootClockNow() + timeout;
  std::unique_lock lock(change_mutex_);
  while (view().position < position) {
    const Time now = BootClockNow();
    if (now >= end) {
      return false;
    }
    change_condition_.wait_for(lock, end - now);
  }
  return true;
}

std::uint64_t LedgerFollower::WaitForChange(std::uint64_t version,
                                            Duration timeout) const {
  std::unique_lock lock(change_mutex_);
  change_condition_.wait_for(lock, timeout,
                             [&] { return version_ != version; });
  return version_;
}

void LedgerFollower::NotifyChange() {
  {
    const std::lock_guard lock(change_mutex_);
    ++version_;
  }
  change_condition_.notify_all();
}

LedgerFollower::RestoreResult LedgerFollower::Restore(
    std::int64_t min_position) {
  const Time now = BootClockNow();
  SnapshotLookup lookup =
      ReadSnapshot(*store_, options_.snapshots, now, snapshot_parts_);
  if (!lookup.store_answered) {
    LogEvent("snapshot_unread")
        .With("reason", lookup.reason)
        .With("took_ms", (BootClockNow() - now).count());
    return RestoreResult::kUnanswered;
  }
  if ((lookup.snapshot && lookup.snapshot->position < min_position) ||
      (!lookup.snapshot && min_position > 0)) {
    return RestoreResult::kNoneCovers;
  }
  std::int64_t position = 0;
  {
    const std::unique_lock lock(ledger_mutex_);
    if (lookup.snapshot) {
      ledger_ = std::move(lookup.snapshot->ledger);
      view_.position = lookup.snapshot->position;
    }
    view_.loaded = true;
    is_catching_up_ = true;
    position = view_.position;
    ring_.Reset(position);
  }
  LogEvent("ledger_restored")
      .With("position", position)
      .With("from_snapshot", lookup.snapshot.has_value());
  NotifyChange();
  return RestoreResult::kRestored;
}

void LedgerFollower::HandleGap(std::int64_t first_retained) {
  if (!is_in_gap_) {
    is_in_gap_ = true;
    uncovered_since_ = Time{0};
    LogEvent("log_forgotten")
        .With("position", view().position)
        .With("first_kept", first_retained);
  }
  const RestoreResult result = Restore(first_retained);
  if (result == RestoreResult::kRestored) {
    restore_retry_.OnSuccess();
    is_in_gap_ = false;
    if (on_gap_) {
      on_gap_();
    }
    return;
  }
  // Without an answer there may be a newer snapshot, which must not be
  // replaced.
  if (result == RestoreResult::kNoneCovers) {
    const Time now = BootClockNow();
    if (uncovered_since_ == Time{0}) {
      uncovered_since_ = now;
    }
    if (options_.adopt_state_after_gap &&
        now - uncovered_since_ > kAdoptDelay) {
      AdoptState(first_retained);
    }
  }
  WaitToRestore();
}

void LedgerFollower::AdoptState(std::int64_t first_retained) {
  const auto [bytes, read_to] =
      Read([&](const Ledger& ledger, const LedgerView& view) {
        return std::pair(LedgerSnapshot::Save(ledger, first_retained),
                         view.position);
      });
  if (WriteSnapshot(*store_, options_.snapshots, bytes, first_retained,
                    snapshot_parts_)) {
    LogEvent("ledger_adopted")
        .With("read_to", read_to)
        .With("position", first_retained);
  }
}

void LedgerFollower::WaitToRestore() {
  std::unique_lock lock(change_mutex_);
  change_condition_.wait_for(lock, restore_retry_.OnFailure(),
                             [this] { return stop_requested_.load(); });
}

Duration LedgerFollower::ReadTimeout() const {
  return is_catching_up_ ? kBulkReadTimeout
                         : options_.poll_wait + kReadTimeoutSlack;
}

void LedgerFollower::ApplyRecords(const ReadResult& read, Time sent_at) {
  const Time now = BootClockNow();
  const std::unique_lock lock(ledger_mutex_);
  for (const LogRecordBytes& r : read.records) {
    if (r.offset != view_.position) {
      continue;  // Already applied from the other connection.
    }
    view_.position = r.offset + 1;
    const std::optional<LedgerRecord> record = DecodeRecord(r.bytes);
    if (!record) {
      LogEvent("record_unreadable").With("offset", r.offset);
      continue;
    }
    if (!ledger_.Apply(now, *record)) {
      metrics_.Add(Counter::kRecordsVoid);
      if (on_void_) {
        on_void_(*record, r.offset);
      }
    } else if (on_record_) {
      on_record_(ledger_, *record, r.offset);
    }
  }
  if (view_.position >= read.end_offset) {
    is_catching_up_ = false;
    if (!view_.was_read_to_end) {
      ledger_.ForgetLiveness();  // All records so far are history.
      view_.was_read_to_end = true;
    }
    view_.as_of = std::max(view_.as_of, sent_at - read.age);
  }
  ring_.Add(read,
            view_.position >= read.end_offset ? sent_at - read.age : Time{0});
}

void LedgerFollower::CatchUpLoop() {
  while (!stop_requested_) {
    {
      std::unique_lock lock(change_mutex_);
      if (expected_end_ <= view().position) {
        change_condition_.wait_for(lock, kIdleWait);
        continue;
      }
    }
    const std::int64_t position = view().position;
    std::this_thread::sleep_for(kCatchUpDelay + read_interval_.load());
    if (!view().loaded || view().position != position) {
      continue;
    }
    const Time sent_at = BootClockNow();
    const ReadResult read = catch_up_store_->Read(options_.records, position,
                                                  Duration(0), kCatchUpTimeout);
    if (read.kind == ReadResult::Kind::kOk) {
      ApplyRecords(read, sent_at);
      NotifyChange();
    }
  }
}

void LedgerFollower::Loop() {
  bool is_readable = false;
  while (!stop_requested_) {
    if (!view().loaded) {
      if (Restore(0) == RestoreResult::kRestored) {
        restore_retry_.OnSuccess();
      } else {
        WaitToRestore();
      }
      continue;
    }
    const Time sent_at = BootClockNow();
    const ReadResult read = store_->Read(options_.records, view().position,
                                         options_.poll_wait, ReadTimeout());
    if (read.kind == ReadResult::Kind::kTruncated) {
      HandleGap(read.first_offset);
      continue;
    }
    if (read.kind == ReadResult::Kind::kFailed) {
      metrics_.Add(Counter::kLogReadsFailed);
      metrics_.Set(Gauge::kLogVisible, 0);
      if (is_readable) {
        LogEvent("log_lost").With("reason", read.reason);
      }
      is_readable = false;
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    if (!is_readable) {
      LogEvent("log_regained").With("end", read.end_offset);
      const std::unique_lock lock(ledger_mutex_);
      view_.readable_since = sent_at;
    }
    is_readable = true;
    metrics_.Add(Counter::kLogReads);
    metrics_.Set(Gauge::kLogVisible, 1);
    ApplyRecords(read, sent_at);
    NotifyChange();
    PauseUntilNextRead(sent_at);
  }
}

void LedgerFollower::PauseUntilNextRead(Time sent_at) {
  const Duration interval = read_interval_.load();
  if (interval <= Duration(0) || !view().was_read_to_end) {
    return;
  }
  std::unique_lock lock(change_mutex_);
  change_condition_.wait_for(lock, sent_at + interval - BootClockNow(),
                             [this] { return stop_requested_.load(); });
}

}  // namespace marjoramplank
