#include "src/relay/relayed_log_store.h"

#include <utility>

#include "src/node/event_log.h"

namespace marjoramplank {

RelayedLogStore::RelayedLogStore(Options options,
                                 std::unique_ptr<LogStore> direct,
                                 WayHealth& health)
    : options_(std::move(options)),
      direct_(std::move(direct)),
      health_(health) {}

RelayedLogStore::~RelayedLogStore() = default;

std::string RelayedLogStore::BestWay(WayHealth::Use use) const {
  std::vector<std::string> ways = options_.relays();
  ways.insert(options_.relays_first ? ways.end() : ways.begin(), kDirectWay);
  health_.Sort(ways, use);
  return ways.front();
}

RelayClient& RelayedLogStore::Client(const std::string& address) {
  std::unique_ptr<RelayClient>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<RelayClient>(address);
  }
  return *client;
}

void RelayedLogStore::Worked(const std::string& way, WayHealth::Use use) {
  health_.Worked(way, use);
  if (way != last_way_) {
    LogEvent("way_to_log").With("way", NameOfWay(way));
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
  const std::string way = BestWay(WayHealth::Use::kAppend);
  AppendResult result = way == kDirectWay
                            ? direct_->Append(to, records, stamp, limit)
                            : Client(way).Append(records, limit);
  if (result.kind == AppendResult::Kind::kStored) {
    Worked(way, WayHealth::Use::kAppend);
  } else {
    health_.Failed(way, WayHealth::Use::kAppend, result.reason);
  }
  return result;
}

ReadResult RelayedLogStore::Read(const LogPartition& from,
                                 std::int64_t offset,
                                 Duration wait,
                                 Duration limit) {
  const std::string way = BestWay(WayHealth::Use::kRead);
  if (way == kDirectWay) {
    ReadResult result = direct_->Read(from, offset, wait, limit);
    if (result.kind == ReadResult::Kind::kFailed) {
      health_.Failed(way, WayHealth::Use::kRead, result.reason);
    } else {
      Worked(way, WayHealth::Use::kRead);
    }
    return result;
  }
  ReadResult result = Client(way).Read(from, offset, wait, limit);
  if (result.kind != ReadResult::Kind::kOk) {
    health_.Failed(way, WayHealth::Use::kRead, result.reason);
  } else if (result.age > wait + options_.relay_age_limit) {
    // What it has read is still true; only another way is better.
    health_.Failed(way, WayHealth::Use::kRead, "the entry's knowledge is old");
  } else {
    Worked(way, WayHealth::Use::kRead);
  }
  return result;
}

NewestResult RelayedLogStore::Newest(const LogPartition& from, Duration limit) {
  return direct_->Newest(from, limit);
}

}  // namespace marjoramplank
