#include "src/relay/relayed_log_store.h"

#include <algorithm>
#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

RelayedLogStore::RelayedLogStore(Options options,
                                 std::unique_ptr<LogStore> direct_store,
                                 RouteHealth& health)
    : options_(std::move(options)),
      direct_store_(std::move(direct_store)),
      health_(health) {}

RelayedLogStore::~RelayedLogStore() = default;

std::string RelayedLogStore::ChooseRoute(
    RouteHealth::Operation operation) const {
  std::vector<std::string> routes = options_.relay_addresses(operation);
  routes.insert(options_.prefer_relays ? routes.end() : routes.begin(),
                kDirectRoute);
  health_.SortByHealth(routes, operation);
  return routes.front();
}

RelayClient& RelayedLogStore::ClientFor(const std::string& address) {
  std::unique_ptr<RelayClient>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<RelayClient>(address);
  }
  return *client;
}

void RelayedLogStore::OnSuccess(const std::string& route,
                                RouteHealth::Operation operation) {
  health_.RecordSuccess(route, operation);
  if (route != last_route_) {
    LogEvent("way_to_log").With("way", RouteName(route));
    last_route_ = route;
  }
}

AppendResult RelayedLogStore::Append(const LogPartition& to,
                                     const std::vector<std::string>& records,
                                     const ProducerStamp& stamp,
                                     Duration timeout) {
  if (!stamp.id.empty()) {
    return direct_store_->Append(to, records, stamp, timeout);
  }
  const std::string route = ChooseRoute(RouteHealth::Operation::kAppend);
  AppendResult result = route == kDirectRoute
                            ? direct_store_->Append(to, records, stamp, timeout)
                            : ClientFor(route).Append(records, timeout);
  if (result.kind == AppendResult::Kind::kStored) {
    OnSuccess(route, RouteHealth::Operation::kAppend);
  } else {
    health_.RecordFailure(route, RouteHealth::Operation::kAppend,
                          result.reason);
  }
  return result;
}

ReadResult RelayedLogStore::ReadDirect(const LogPartition& from,
                                       std::int64_t offset,
                                       Duration wait,
                                       Duration usual_timeout) {
  const Duration timeout = direct_read_timeout_.For(usual_timeout);
  const Time sent_at = BootClockNow();
  ReadResult result = direct_store_->Read(from, offset, wait, timeout);
  if (result.kind == ReadResult::Kind::kFailed) {
    direct_read_timeout_.OnFailure(timeout, BootClockNow() - sent_at);
    health_.RecordFailure(kDirectRoute, RouteHealth::Operation::kRead,
                          result.reason);
  } else {
    direct_read_timeout_.OnSuccess();
    OnSuccess(kDirectRoute, RouteHealth::Operation::kRead);
  }
  return result;
}

ReadResult RelayedLogStore::Read(const LogPartition& from,
                                 std::int64_t offset,
                                 Duration wait,
                                 Duration timeout) {
  const std::string route = ChooseRoute(RouteHealth::Operation::kRead);
  if (route == kDirectRoute) {
    return ReadDirect(from, offset, wait, timeout);
  }
  ReadResult result = ClientFor(route).Read(
      from, offset, wait, std::min(timeout, wait + options_.relay_read_slack));
  if (result.kind != ReadResult::Kind::kOk) {
    health_.RecordFailure(route, RouteHealth::Operation::kRead, result.reason);
  } else if (result.age > wait + options_.max_relay_age) {
    // The records are valid, but the relay is behind: prefer another route.
    health_.RecordFailure(route, RouteHealth::Operation::kRead,
                          "the entry's view of the log is stale");
  } else {
    direct_read_timeout_.OnSuccess();
    OnSuccess(route, RouteHealth::Operation::kRead);
  }
  return result;
}

LatestResult RelayedLogStore::ReadLatest(const LogPartition& from,
                                         Duration timeout) {
  return direct_store_->ReadLatest(from, timeout);
}

}  // namespace marjoramplank
