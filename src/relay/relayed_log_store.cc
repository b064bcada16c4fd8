#include "src/relay/relayed_log_store.h"

#include <algorithm>
#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

RelayedLogStore::RelayedLogStore(Options options,
                                 std::unique_ptr<LogStore> direct)
    : options_(std::move(options)), direct_(std::move(direct)) {}

RelayedLogStore::~RelayedLogStore() = default;

std::vector<std::string> RelayedLogStore::Ways() const {
  std::vector<std::string> ways = options_.relays();
  ways.insert(options_.relays_first ? ways.end() : ways.begin(), "");
  const Time now = BootTime();
  // Those that failed lately come last, the longest ago first.
  std::stable_sort(ways.begin(), ways.end(), [&](const auto& a, const auto& b) {
    return AvoidedUntil(a, now) < AvoidedUntil(b, now);
  });
  return ways;
}

Time RelayedLogStore::AvoidedUntil(const std::string& way, Time now) const {
  const auto it = avoided_.find(way);
  return it == avoided_.end() || it->second.until <= now ? Time{0}
                                                         : it->second.until;
}

RelayClient& RelayedLogStore::Client(const std::string& address) {
  std::unique_ptr<RelayClient>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<RelayClient>(address);
  }
  return *client;
}

void RelayedLogStore::Failed(const std::string& way,
                             const std::string& reason) {
  Avoidance& avoidance = avoided_[way];
  avoidance.span =
      std::clamp(avoidance.span * 2, options_.avoid, options_.avoid_max);
  avoidance.until = BootTime() + avoidance.span;
  LogEvent("way_to_log_failed")
      .With("way", way.empty() ? "direct" : way)
      .With("reason", reason);
}

void RelayedLogStore::Worked(const std::string& way) {
  avoided_.erase(way);
  if (way != last_way_) {
    LogEvent("way_to_log").With("way", way.empty() ? "direct" : way);
    last_way_ = way;
  }
}

AppendResult RelayedLogStore::Append(const LogPartition& to,
                                     const std::vector<std::string>& records,
                                     const ProducerStamp& stamp,
                                     Duration limit) {
  if (!stamp.id.empty()) {
    return direct_->Append(to, records, stamp, limit);
  }
  const std::string way = Ways().front();
  AppendResult result = way.empty() ? direct_->Append(to, records, stamp, limit)
                                    : Client(way).Append(records, limit);
  if (result.kind == AppendResult::Kind::kStored) {
    Worked(way);
  } else {
    Failed(way, result.reason);
  }
  return result;
}

ReadResult RelayedLogStore::Read(const LogPartition& from,
                                 std::int64_t offset,
                                 Duration wait,
                                 Duration limit) {
  const std::string way = Ways().front();
  if (way.empty()) {
    ReadResult result = direct_->Read(from, offset, wait, limit);
    if (result.kind == ReadResult::Kind::kFailed) {
      Failed(way, result.reason);
    } else {
      Worked(way);
    }
    return result;
  }
  ReadResult result = Client(way).Read(from, offset, wait, limit);
  if (result.kind != ReadResult::Kind::kOk) {
    Failed(way, result.reason);
  } else if (result.age > wait + options_.relay_age_limit) {
    // What it has read is still true; only another way is better.
    Failed(way, "the entry's knowledge is old");
  } else {
    Worked(way);
  }
  return result;
}

NewestResult RelayedLogStore::Newest(const LogPartition& from, Duration limit) {
  return direct_->Newest(from, limit);
}

}  // namespace marjoramplank
