#include "src/store/ledger_follower.h"

#include <algorithm>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {

namespace {

// Time beyond the poll within which a read must be answered; a connection that
// went silent is given up after it.
constexpr Duration kReadSlack = 700ms;
// A record that is known to be stored is read on the second connection if it
// has not come for this long: several usual answers of the store.
constexpr Duration kCatchUpAfter = 60ms;
constexpr Duration kCatchUpLimit = 500ms;  // Of that read.
constexpr Duration kIdleTick = 500ms;
// Pause after a failed read.
constexpr Duration kRetryPause = 60ms;
// After a gap: how long a snapshot of somebody who read further is waited for
// before this process publishes its own state.
constexpr Duration kAdoptAfter = 600ms;

}  // namespace

LedgerFollower::LedgerFollower(Options options,
                               std::unique_ptr<LogStore> store,
                               std::unique_ptr<LogStore> second,
                               Metrics& metrics)
    : options_(std::move(options)),
      store_(std::move(store)),
      second_(std::move(second)),
      metrics_(metrics) {}

LedgerFollower::~LedgerFollower() {
  stopping_ = true;
  changed_.notify_all();
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

void LedgerFollower::Expect(std::int64_t end) {
  {
    const std::lock_guard lock(change_mutex_);
    expected_ = std::max(expected_, end);
  }
  changed_.notify_all();
}

bool LedgerFollower::WaitFor(std::int64_t position, Duration limit) const {
  const Time end = BootTime() + limit;
  std::unique_lock lock(change_mutex_);
  while (view().position < position) {
    const Time now = BootTime();
    if (now >= end) {
      return false;
    }
    changed_.wait_for(lock, end - now);
  }
  return true;
}

std::uint64_t LedgerFollower::WaitForChange(std::uint64_t version,
                                            Duration limit) const {
  std::unique_lock lock(change_mutex_);
  changed_.wait_for(lock, limit, [&] { return version_ != version; });
  return version_;
}

void LedgerFollower::Announce() {
  {
    const std::lock_guard lock(change_mutex_);
    ++version_;
  }
  changed_.notify_all();
}

bool LedgerFollower::Restore(std::int64_t least) {
  const Time now = BootTime();
  SnapshotSearch search = ReadSnapshot(*store_, options_.snapshots, now);
  if (!search.ok || (search.found && search.found->position < least) ||
      (!search.found && least > 0)) {
    return false;
  }
  {
    const std::unique_lock lock(ledger_mutex_);
    if (search.found) {
      ledger_ = std::move(search.found->ledger);
      view_.position = search.found->position;
    }
    view_.loaded = true;
  }
  ring_.Restart(view_.position);
  LogEvent("ledger_restored")
      .With("position", view_.position)
      .With("from_snapshot", search.found.has_value());
  Announce();
  return true;
}

void LedgerFollower::HandleGap(std::int64_t first) {
  const Time now = BootTime();
  if (gap_since_ == Time{0}) {
    gap_since_ = now;
    LogEvent("log_forgotten")
        .With("position", view_.position)
        .With("first_kept", first);
  }
  if (Restore(first)) {
    gap_since_ = Time{0};
    if (on_gap_) {
      on_gap_();
    }
    return;
  }
  if (options_.adopts && now - gap_since_ > kAdoptAfter) {
    const std::string bytes = LedgerSnapshot::Save(ledger_, first);
    if (WriteSnapshot(*store_, options_.snapshots, bytes, first)) {
      LogEvent("ledger_adopted")
          .With("read_to", view_.position)
          .With("position", first);
    }
  }
  std::this_thread::sleep_for(kRetryPause);
}

void LedgerFollower::ApplyAll(const ReadResult& read, Time sent) {
  const Time now = BootTime();
  const std::unique_lock lock(ledger_mutex_);
  for (const LogRecordBytes& r : read.records) {
    if (r.offset != view_.position) {
      continue;  // The other connection was faster.
    }
    view_.position = r.offset + 1;
    const std::optional<LedgerRecord> record = DecodeRecord(r.bytes);
    if (!record) {
      LogEvent("record_unreadable").With("offset", r.offset);
      continue;
    }
    if (!ledger_.Apply(now, *record)) {
      metrics_.Add(Counter::kRecordsVoid);
    } else if (on_record_) {
      on_record_(ledger_, *record, r.offset);
    }
  }
  if (view_.position >= read.end) {
    view_.as_of = std::max(view_.as_of, sent - read.age);
  }
  ring_.Add(read, view_.position >= read.end ? sent - read.age : Time{0});
}

void LedgerFollower::CatchUpLoop() {
  while (!stopping_) {
    {
      std::unique_lock lock(change_mutex_);
      if (expected_ <= view().position) {
        changed_.wait_for(lock, kIdleTick);
        continue;
      }
    }
    const std::int64_t position = view().position;
    std::this_thread::sleep_for(kCatchUpAfter);
    if (!view().loaded || view().position != position) {
      continue;
    }
    const Time sent = BootTime();
    const ReadResult read =
        second_->Read(options_.records, position, Duration(0), kCatchUpLimit);
    if (read.kind == ReadResult::Kind::kOk) {
      ApplyAll(read, sent);
      Announce();
    }
  }
}

void LedgerFollower::Loop() {
  bool readable = false;
  while (!stopping_) {
    if (!view_.loaded && !Restore(0)) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    const Time sent = BootTime();
    const ReadResult read =
        store_->Read(options_.records, view_.position, options_.poll,
                     options_.poll + kReadSlack);
    if (read.kind == ReadResult::Kind::kForgotten) {
      HandleGap(read.first);
      continue;
    }
    if (read.kind == ReadResult::Kind::kFailed) {
      metrics_.Add(Counter::kLogReadsFailed);
      metrics_.Set(Gauge::kLogVisible, 0);
      if (readable) {
        LogEvent("log_lost").With("reason", read.reason);
      }
      readable = false;
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    if (!readable) {
      LogEvent("log_regained").With("end", read.end);
      const std::unique_lock lock(ledger_mutex_);
      view_.readable_since = sent;
    }
    readable = true;
    metrics_.Add(Counter::kLogReads);
    metrics_.Set(Gauge::kLogVisible, 1);
    ApplyAll(read, sent);
    Announce();
  }
}

}  // namespace marjoramplank
