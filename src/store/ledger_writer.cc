#include "src/store/ledger_writer.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Retry backoff after a failed append: doubles from the minimum to the maximum,
// with jitter.
constexpr Duration kMinRetryDelay = 20ms;
constexpr Duration kMaxRetryDelay = 240ms;
constexpr std::size_t kMaxBatchRecords = 256;
// The writer checks for a stop request, and Drain() for its completion, at
// least this often.
constexpr Duration kIdleWait = 200ms;
constexpr Duration kDrainPollInterval = 10ms;
// Timeout of a call with a record whose deadline is about to pass.
constexpr Duration kMinAppendTimeout = 1ms;
// Longest linger of heartbeats: with an interval between two heartbeats, below
// the time after which a worker is suspected.
constexpr Duration kMaxHeartbeatLinger = 600ms;
// An append that takes longer shows a log service that is slow.
constexpr Duration kSlowAppend = 100ms;
// A record with more time left than this is always tried.
constexpr Duration kMaxNeededTime = 250ms;
// Stored records are kept this long for ReappendRecent(): longer than a reader
// can lag behind and still count as live.
constexpr Duration kRecentRetention = 12s;

Duration Jittered(Duration d) {
  thread_local std::minstd_rand random{std::random_device{}()};
  return d / 2 + Duration(random() % static_cast<unsigned>(d.count()));
}

}  // namespace

LedgerWriter::LedgerWriter(Options options,
                           std::unique_ptr<LogStore> store,
                           Metrics& metrics)
    : options_(std::move(options)),
      store_(std::move(store)),
      metrics_(metrics),
      append_timeout_(options_.append_timeout),
      limits_(options_.limits) {
  thread_ = std::thread([this] { Loop(); });
}

LedgerWriter::~LedgerWriter() {
  stop_requested_ = true;
  queue_changed_.notify_all();
  thread_.join();
}

void LedgerWriter::Append(Item item) {
  std::string bytes = EncodeRecord(item.record);
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back({.item = std::move(item),
                      .bytes = std::move(bytes),
                      .queued_at = BootClockNow()});
  }
  queue_changed_.notify_all();
}

LedgerWriter::Outcome LedgerWriter::AppendAndWait(LedgerRecord record,
                                                  Time deadline) {
  auto promise = std::make_shared<std::promise<Outcome>>();
  std::future<Outcome> outcome = promise->get_future();
  Append({.record = std::move(record),
          .deadline = deadline,
          .on_done = [promise](Outcome o, Time) { promise->set_value(o); }});
  return outcome.get();
}

void LedgerWriter::ReappendRecent() {
  std::deque<RecentRecord> recent;
  {
    const std::lock_guard lock(mutex_);
    recent.swap(recent_);
  }
  for (RecentRecord& r : recent) {
    Append({.record = std::move(r.record)});
  }
}

void LedgerWriter::Drain(Duration timeout) {
  const Time end = BootClockNow() + timeout;
  std::unique_lock lock(mutex_);
  while ((!queue_.empty() || batch_in_flight_) && BootClockNow() < end) {
    queue_changed_.wait_for(lock, kDrainPollInterval);
  }
}

Duration LedgerWriter::HeartbeatLinger() const {
  // Heartbeats take at most a quarter of a slow log service's time from here.
  constexpr int kAppendTimes = 4;
  const Duration least = options_.heartbeat_linger;
  return least <= Duration(0)
             ? Duration(0)
             : std::clamp(last_append_time_ * kAppendTimes, least,
                          std::max(least, kMaxHeartbeatLinger));
}

Duration LedgerWriter::RecordLinger() const {
  return options_.heartbeat_linger > Duration(0) &&
                 last_append_time_ > kSlowAppend
             ? std::min(last_append_time_, kMaxHeartbeatLinger)
             : Duration(0);
}

bool LedgerWriter::IsBatchDue(Time now) const {
  if (queue_.empty() || now - last_append_at_ < RecordLinger()) {
    return false;
  }
  return now - queue_.front().queued_at >= HeartbeatLinger() ||
         std::any_of(queue_.begin(), queue_.end(), [](const Pending& p) {
           return !std::holds_alternative<AgentHeartbeat>(p.item.record);
         });
}

std::vector<LedgerWriter::Pending> LedgerWriter::TakeBatch() {
  std::unique_lock lock(mutex_);
  queue_changed_.wait_for(
      lock, kIdleWait, [this] { return stop_requested_ || !queue_.empty(); });
  while (!stop_requested_ && !queue_.empty() && !IsBatchDue(BootClockNow())) {
    const Time due = std::max(queue_.front().queued_at + HeartbeatLinger(),
                              last_append_at_ + RecordLinger());
    queue_changed_.wait_for(
        lock, std::clamp(due - BootClockNow(), kMinAppendTimeout, kIdleWait));
  }
  std::vector<Pending> batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < kMaxBatchRecords &&
         (batch.empty() ||
          bytes + queue_.front().bytes.size() < limits_.max_call_bytes())) {
    bytes += queue_.front().bytes.size();
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  batch_in_flight_ = !batch.empty();
  return batch;
}

void LedgerWriter::ExpireOverdue(std::vector<Pending>& batch, Time now) {
  const Duration needed =
      std::min(append_timeout_.recent_latency() / 2, kMaxNeededTime);
  const auto first_overdue =
      std::stable_partition(batch.begin(), batch.end(), [&](const Pending& p) {
        return p.item.deadline > now && p.item.deadline - now > needed;
      });
  for (auto it = first_overdue; it != batch.end(); ++it) {
    if (it->item.on_done) {
      it->item.on_done(
          it->maybe_stored ? Outcome::kUnknown : Outcome::kNotStored, now);
    }
  }
  batch.erase(first_overdue, batch.end());
}

void LedgerWriter::ExpireQueued(Time now) {
  std::vector<Pending> overdue;
  {
    const std::lock_guard lock(mutex_);
    const auto first_overdue = std::stable_partition(
        queue_.begin(), queue_.end(),
        [&](const Pending& p) { return p.item.deadline > now; });
    overdue.assign(std::make_move_iterator(first_overdue),
                   std::make_move_iterator(queue_.end()));
    queue_.erase(first_overdue, queue_.end());
  }
  ExpireOverdue(overdue, now);
}

void LedgerWriter::Complete(std::vector<Pending>& batch,
                            Outcome outcome,
                            Time sent_at) {
  for (Pending& p : batch) {
    if (p.item.on_done) {
      p.item.on_done(outcome, sent_at);
    }
  }
  batch.clear();
}

void LedgerWriter::KeepRecent(const std::vector<Pending>& batch, Time now) {
  const std::lock_guard lock(mutex_);
  for (const Pending& p : batch) {
    if (!std::holds_alternative<AgentHeartbeat>(p.item.record)) {
      recent_.push_back({.stored_at = now, .record = p.item.record});
    }
  }
  while (!recent_.empty() &&
         recent_.front().stored_at + kRecentRetention < now) {
    recent_.pop_front();
  }
}

void LedgerWriter::RejectOversized(std::vector<Pending>& batch, Time now) {
  for (Pending& p : batch) {
    if (!limits_.MayAppend(p.bytes) && DropCheckpoint(p.item.record)) {
      LogEvent("checkpoint_too_large").With("bytes", p.bytes.size());
      p.bytes = EncodeRecord(p.item.record);
    }
  }
  const auto first_oversized = std::stable_partition(
      batch.begin(), batch.end(),
      [&](const Pending& p) { return limits_.MayAppend(p.bytes); });
  for (auto it = first_oversized; it != batch.end(); ++it) {
    LogEvent("record_too_large").With("bytes", it->bytes.size());
    if (it->item.on_done) {
      it->item.on_done(
          it->maybe_stored ? Outcome::kUnknown : Outcome::kNotStored, now);
    }
  }
  batch.erase(first_oversized, batch.end());
}

void LedgerWriter::ShortenBatch(std::vector<Pending>& batch) {
  const auto end = batch.begin() + static_cast<std::ptrdiff_t>(
                                       limits_.EndOfPart(BytesOf(batch), 0));
  const std::lock_guard lock(mutex_);
  queue_.insert(queue_.begin(), std::make_move_iterator(end),
                std::make_move_iterator(batch.end()));
  batch.erase(end, batch.end());
}

std::vector<std::string> LedgerWriter::BytesOf(
    const std::vector<Pending>& batch) {
  std::vector<std::string> out;
  out.reserve(batch.size());
  for (const Pending& p : batch) {
    out.push_back(p.bytes);
  }
  return out;
}

AppendResult LedgerWriter::TryAppend(const std::vector<Pending>& batch,
                                     Time sent_at) {
  const std::vector<std::string> records = BytesOf(batch);
  Time deadline = kNever;
  for (const Pending& p : batch) {
    deadline = std::min(deadline, p.item.deadline);
  }
  const Duration timeout =
      deadline == kNever ? append_timeout_.current()
                         : std::clamp(deadline - sent_at, kMinAppendTimeout,
                                      append_timeout_.current());
  AppendResult result =
      store_->Append(options_.partition, records, {}, timeout);
  if (result.kind == AppendResult::Kind::kUnknown) {
    append_timeout_.OnTimeout();
  } else if (result.kind == AppendResult::Kind::kStored) {
    append_timeout_.OnResponse(BootClockNow() - sent_at);
  } else if (result.is_too_large && !limits_.OnTooLarge(records)) {
    result.is_too_large = false;
  }
  return result;
}

void LedgerWriter::Loop() {
  Duration retry_delay = kMinRetryDelay;
  std::vector<Pending> batch;
  while (!stop_requested_) {
    if (batch.empty()) {
      batch = TakeBatch();
    }
    ExpireOverdue(batch, BootClockNow());
    RejectOversized(batch, BootClockNow());
    if (batch.empty()) {
      const std::lock_guard lock(mutex_);
      batch_in_flight_ = false;
      continue;
    }
    const Time sent_at = BootClockNow();
    const AppendResult result = TryAppend(batch, sent_at);
    last_append_at_ = BootClockNow();
    last_append_time_ = last_append_at_ - sent_at;
    if (result.kind == AppendResult::Kind::kStored) {
      is_failing_ = false;
      metrics_.Add(Counter::kAppends);
      metrics_.Add(Counter::kAppendRecords, batch.size());
      metrics_.Observe(Latency::kAppend, ToSeconds(BootClockNow() - sent_at));
      retry_delay = kMinRetryDelay;
      if (on_stored_) {
        on_stored_(result.first_offset +
                   static_cast<std::int64_t>(batch.size()));
      }
      KeepRecent(batch, BootClockNow());
      Complete(batch, Outcome::kStored, sent_at);
      continue;
    }
    if (result.is_too_large) {
      ShortenBatch(batch);
      continue;
    }
    is_failing_ = true;
    metrics_.Add(result.kind == AppendResult::Kind::kUnknown
                     ? Counter::kAppendsUnknown
                     : Counter::kAppendsFailed);
    LogEvent("append_failed")
        .With("records", batch.size())
        .With("settled", result.kind == AppendResult::Kind::kRefused)
        .With("reason", result.reason)
        .With("took_ms", (BootClockNow() - sent_at).count());
    if (result.kind == AppendResult::Kind::kUnknown) {
      for (Pending& p : batch) {
        p.maybe_stored = true;
      }
    }
    ExpireQueued(BootClockNow());
    std::this_thread::sleep_for(Jittered(retry_delay));
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
  // Every caller gets an outcome. Some of the queue may have been sent: see
  // ShortenBatch().
  ExpireOverdue(batch, kNever);
  std::vector<Pending> queued;
  {
    const std::lock_guard lock(mutex_);
    queued.assign(std::make_move_iterator(queue_.begin()),
                  std::make_move_iterator(queue_.end()));
    queue_.clear();
  }
  ExpireOverdue(queued, kNever);
}

}  // namespace marjoramplank
