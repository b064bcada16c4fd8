#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/relay/direct_read_timeout.h"
#include "src/relay/relay_client.h"
#include "src/relay/route_health.h"
#include "src/store/log_store.h"

namespace marjoramplank {

// Log store with failover between routes: directly to the log service, or
// through the relay of an entry. Used by one thread.
class RelayedLogStore final : public LogStore {
 public:
  struct Options {
    // Returns the relay addresses, preferred first. Called for each operation.
    std::function<std::vector<std::string>(RouteHealth::Operation)>
        relay_addresses;
    bool prefer_relays = false;  // True: reduces the load of the log service.
    // A relay whose view of the log is older than this counts as failed.
    Duration max_relay_age{900};
    // Time beyond the wait of a read within which a relay must answer. It reads
    // from memory and has no queue, so the caller's timeout does not extend it.
    Duration relay_read_slack{700};
  };

  // `health` is shared by all connections of the process and must outlive them.
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
  LatestResult ReadLatest(const LogPartition& from, Duration timeout) override;

 private:
  // Returns the route to try: a relay address, or kDirectRoute.
  std::string ChooseRoute(RouteHealth::Operation operation) const;
  RelayClient& ClientFor(const std::string& address);
  void OnSuccess(const std::string& route, RouteHealth::Operation operation);
  ReadResult ReadDirect(const LogPartition& from,
                        std::int64_t offset,
                        Duration wait,
                        Duration usual_timeout);

  const Options options_;
  const std::unique_ptr<LogStore> direct_store_;
  RouteHealth& health_;
  DirectReadTimeout direct_read_timeout_;
  std::map<std::string, std::unique_ptr<RelayClient>> clients_;
  std::string last_route_ = "?";
};

}  // namespace marjoramplank
