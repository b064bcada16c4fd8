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
    std::function<std::vector<std::string>()> relays;
    bool relays_first = false;  // True: spares the log service.
    // A relay whose own knowledge is older than this counts as cut off.
    Duration relay_age_limit{900};
  };

  // `health` is shared with the process's other connections and outlives them.
  RelayedLogStore(Options options,
                  std::unique_ptr<LogStore> direct,
                  WayHealth& health);
  ~RelayedLogStore() override;

  AppendResult Append(const LogPartition& to,
                      const std::vector<std::string>& records,
                      const ProducerStamp& stamp,
                      Duration limit) override;
  ReadResult Read(const LogPartition& from,
                  std::int64_t offset,
                  Duration wait,
                  Duration limit) override;
  NewestResult Newest(const LogPartition& from, Duration limit) override;

 private:
  // The way to try: a relay address, or kDirectWay.
  std::string BestWay(WayHealth::Use use) const;
  RelayClient& Client(const std::string& address);
  void Worked(const std::string& way, WayHealth::Use use);

  const Options options_;
  const std::unique_ptr<LogStore> direct_;
  WayHealth& health_;
  std::map<std::string, std::unique_ptr<RelayClient>> clients_;
  std::string last_way_ = "?";
};

}  // namespace marjoramplank
