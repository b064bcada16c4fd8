#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/relay/relay_client.h"
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
    // A way that failed is not tried for this long, unless all failed;
    // doubled with each failure in a row.
    Duration avoid{400};
    Duration avoid_max{3000};
  };

  RelayedLogStore(Options options, std::unique_ptr<LogStore> direct);
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
  Time AvoidedUntil(const std::string& way, Time now) const;
  // Ways in the order to try: relay addresses, and "" for the direct one.
  std::vector<std::string> Ways() const;
  RelayClient& Client(const std::string& address);
  void Failed(const std::string& way, const std::string& reason);
  void Worked(const std::string& way);

  const Options options_;
  const std::unique_ptr<LogStore> direct_;
  std::map<std::string, std::unique_ptr<RelayClient>> clients_;
  struct Avoidance {
    Time until{0};
    Duration span{0};
  };
  std::map<std::string, Avoidance> avoided_;
  std::string last_way_ = "?";
};

}  // namespace marjoramplank
