#include "src/store/ledger_writer.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Pause after a refusal: doubles from the first to the last, with jitter.
constexpr Duration kFirstPause = 20ms;
constexpr Duration kLastPause = 240ms;
// Bytes and records of one call; the platform's limit is 2 MiB.
constexpr std::size_t kBatchBytes = 512 * 1024;
constexpr std::size_t kBatchRecords = 256;
// The writer looks at least this often whether it is to stop, and a drain
// whether all is stored.
constexpr Duration kIdleTick = 200ms;
constexpr Duration kDrainTick = 10ms;
// Of a call whose record is about to be given up.
constexpr Duration kShortestLimit = 1ms;
// Stored records are kept this long for RepeatRecent(). Longer than any reader
// is behind while it counts as live.
constexpr Duration kRecentSpan = 12s;

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
      patience_(options_.patience) {
  thread_ = std::thread([this] { Loop(); });
}

LedgerWriter::~LedgerWriter() {
  stopping_ = true;
  ready_.notify_all();
  thread_.join();
}

void LedgerWriter::Append(Item item) {
  std::string bytes = EncodeRecord(item.record);
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back({.item = std::move(item), .bytes = std::move(bytes)});
  }
  ready_.notify_all();
}

LedgerWriter::Outcome LedgerWriter::AppendAndWait(LedgerRecord record,
                                                  Time deadline) {
  auto promise = std::make_shared<std::promise<Outcome>>();
  std::future<Outcome> outcome = promise->get_future();
  Append({.record = std::move(record),
          .deadline = deadline,
          .done = [promise](Outcome o, Time) { promise->set_value(o); }});
  return outcome.get();
}

void LedgerWriter::RepeatRecent() {
  std::deque<Recent> recent;
  {
    const std::lock_guard lock(mutex_);
    recent.swap(recent_);
  }
  for (Recent& r : recent) {
    Append({.record = std::move(r.record)});
  }
}

void LedgerWriter::Drain(Duration limit) {
  const Time end = BootTime() + limit;
  std::unique_lock lock(mutex_);
  while ((!queue_.empty() || in_flight_) && BootTime() < end) {
    ready_.wait_for(lock, kDrainTick);
  }
}

std::vector<LedgerWriter::Pending> LedgerWriter::TakeBatch() {
  std::unique_lock lock(mutex_);
  ready_.wait_for(lock, kIdleTick,
                  [this] { return stopping_ || !queue_.empty(); });
  std::vector<Pending> batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < kBatchRecords &&
         (batch.empty() || bytes + queue_.front().bytes.size() < kBatchBytes)) {
    bytes += queue_.front().bytes.size();
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  in_flight_ = !batch.empty();
  return batch;
}

void LedgerWriter::GiveUpOverdue(std::vector<Pending>& batch, Time now) {
  const auto overdue = std::stable_partition(
      batch.begin(), batch.end(),
      [&](const Pending& p) { return p.item.deadline > now; });
  for (auto it = overdue; it != batch.end(); ++it) {
    if (it->item.done) {
      it->item.done(it->maybe_stored ? Outcome::kUnknown : Outcome::kNotStored,
                    now);
    }
  }
  batch.erase(overdue, batch.end());
}

void LedgerWriter::Settle(std::vector<Pending>& batch,
                          Outcome outcome,
                          Time sent) {
  for (Pending& p : batch) {
    if (p.item.done) {
      p.item.done(outcome, sent);
    }
  }
  batch.clear();
}

void LedgerWriter::Remember(const std::vector<Pending>& batch, Time now) {
  const std::lock_guard lock(mutex_);
  for (const Pending& p : batch) {
    if (!std::holds_alternative<AgentBeat>(p.item.record)) {
      recent_.push_back({.at = now, .record = p.item.record});
    }
  }
  while (!recent_.empty() && recent_.front().at + kRecentSpan < now) {
    recent_.pop_front();
  }
}

AppendResult LedgerWriter::TryAppend(const std::vector<Pending>& batch,
                                     Time sent) {
  std::vector<std::string> records;
  records.reserve(batch.size());
  Time deadline = kNever;
  for (const Pending& p : batch) {
    records.push_back(p.bytes);
    deadline = std::min(deadline, p.item.deadline);
  }
  const Duration limit =
      deadline == kNever
          ? patience_.limit()
          : std::clamp(deadline - sent, kShortestLimit, patience_.limit());
  AppendResult result = store_->Append(options_.partition, records, {}, limit);
  if (result.kind == AppendResult::Kind::kUnknown) {
    patience_.OnSilence();
  } else if (result.kind == AppendResult::Kind::kStored) {
    patience_.OnAnswer(BootTime() - sent);
  }
  return result;
}

void LedgerWriter::Loop() {
  Duration pause = kFirstPause;
  std::vector<Pending> batch;
  while (!stopping_) {
    if (batch.empty()) {
      batch = TakeBatch();
    }
    GiveUpOverdue(batch, BootTime());
    if (batch.empty()) {
      const std::lock_guard lock(mutex_);
      in_flight_ = false;
      continue;
    }
    const Time sent = BootTime();
    const AppendResult result = TryAppend(batch, sent);
    if (result.kind == AppendResult::Kind::kStored) {
      failing_ = false;
      metrics_.Add(Counter::kAppends);
      metrics_.Add(Counter::kAppendRecords, batch.size());
      metrics_.Observe(Latency::kAppend, ToSeconds(BootTime() - sent));
      pause = kFirstPause;
      if (on_stored_) {
        on_stored_(result.offset + static_cast<std::int64_t>(batch.size()));
      }
      Remember(batch, BootTime());
      Settle(batch, Outcome::kStored, sent);
      continue;
    }
    failing_ = true;
    metrics_.Add(result.kind == AppendResult::Kind::kUnknown
                     ? Counter::kAppendsUnknown
                     : Counter::kAppendsFailed);
    LogEvent("append_failed")
        .With("records", batch.size())
        .With("settled", result.kind == AppendResult::Kind::kRefused)
        .With("reason", result.reason)
        .With("took_ms", (BootTime() - sent).count());
    if (result.kind == AppendResult::Kind::kUnknown) {
      for (Pending& p : batch) {
        p.maybe_stored = true;
      }
    }
    std::this_thread::sleep_for(Jittered(pause));
    pause = std::min(pause * 2, kLastPause);
  }
  Settle(batch, Outcome::kUnknown, BootTime());
}

}  // namespace marjoramplank
