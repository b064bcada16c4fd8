#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/relay/relay_client.h"
#include "src/relay/way_health.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Log service reached directly or through entries, whichever answers. Used by
// one thread.
class RelayedLogStore final : public LogStore {
 public:
  struct Options {
    // Entries' relay addresses, preferred first. Asked anew for each call.
    std::function<std::vector<std::string>()> relay_addresses;
    bool prefer_relays = false;  // True: spares the log service.
    // A relay whose own knowledge is older than this counts as cut off.
    Duration max_relay_age{900};
  };

  // `health` is shared with the process's other connections and outlives them.
  RelayedLogStore(Options options,
                  std::unique_ptr<LogStore> direct_store,
                  RouteHealth& health);
  ~RelayedLogStore() override;

  AppendResult Append(const LogPartition& to,
                      const std::vector<std::string>& records,
                      const ProducerStamp& stamp,
                      Duration timeout) override;
  ReadResult Read(const LogPartition& from,
                  std::int64_t offset,
                  Duration wait,
                  Duration timeout) override;
  NewestResult Newest(const LogPartition& from, Duration timeout) override;

 private:
  // The way to try: a relay address, or kDirectWay.
  std::string ChooseRoute(RouteHealth::Operation operation) const;
  RelayClient& ClientFor(const std::string& address);
  void OnSuccess(const std::string& route, RouteHealth::Operation operation);

  const Options options_;
  const std::unique_ptr<LogStore> direct_store_;
  RouteHealth& health_;
  std::map<std::string, std::unique_ptr<RelayClient>> clients_;
  std::string last_route_ = "?";
};

}  // namespace marjoramplank
