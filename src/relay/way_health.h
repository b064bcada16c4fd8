#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Which ways to the log service failed lately. Shared by all connections of a
// process, so that the failure that one of them meets spares the others theirs.
// A way is a relay's address, or kDirectWay. Thread-safe.
class RouteHealth {
 public:
  struct Options {
    // A way that failed is not tried for this long, unless all failed; doubled
    // with each failure after that.
    Duration min_backoff{400};
    Duration max_backoff{3000};
    std::function<Time()> clock;  // Empty: BootTime().
  };
  // Reads and appends fail apart from each other: an entry that is turned away
  // by the store goes on telling what it hears from others. Both try a way
  // again when its span is over, but an append leaves a way alone where reads
  // failed until one has come through: a caller's request is no probe.
  enum class Operation { kRead, kAppend };

  explicit RouteHealth(Options options);

  void RecordFailure(const std::string& route,
                     Operation operation,
                     const std::string& reason);
  void RecordSuccess(const std::string& route, Operation operation);
  // Puts the ways that failed last, the longest ago first. Stable otherwise.
  void SortByHealth(std::vector<std::string>& routes,
                    Operation operation) const;

 private:
  struct Backoff {
    Time until{0};
    Duration delay{0};
  };
  using BackoffMap = std::map<std::string, Backoff>;  // By way.

  Time Now() const;
  BackoffMap& BackoffsFor(Operation operation) {
    return operation == Operation::kRead ? read_backoffs_ : append_backoffs_;
  }
  // 0: nothing speaks against the way.
  Time BackoffUntil(const std::string& route,
                    Operation operation,
                    Time now) const;

  const Options options_;
  mutable std::mutex mutex_;  // Guards the two below.
  BackoffMap read_backoffs_;
  BackoffMap append_backoffs_;
};

inline constexpr char kDirectRoute[] = "";
std::string RouteName(const std::string& route);  // For the log.

}  // namespace marjoramplank
