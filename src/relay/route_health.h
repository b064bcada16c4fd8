#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Tracks which routes to the log service have failed recently. Shared by all
// connections of a process, so that a failure on one of them makes the others
// switch too. A route is a relay's address or kDirectRoute. Thread-safe.
class RouteHealth {
 public:
  struct Options {
    // A failed route is not tried for this long, unless all routes have failed.
    // Doubles with each further failure.
    Duration min_backoff{400};
    Duration max_backoff{3000};
    std::function<Time()> clock;  // Empty: the boot clock.
  };
  // Reads and appends are tracked separately: an entry whose appends the log
  // service refuses still relays records that it reads through other entries.
  // Both retry a route after its backoff, but appends also avoid a route whose
  // last read failed until a read succeeds: a client request must not be the
  // probe.
  enum class Operation { kRead, kAppend };

  explicit RouteHealth(Options options);

  void RecordFailure(const std::string& route,
                     Operation operation,
                     const std::string& reason);
  void RecordSuccess(const std::string& route, Operation operation);
  // Moves routes in backoff to the end, those with the earliest expiry first.
  // The order is stable otherwise.
  void SortByHealth(std::vector<std::string>& routes,
                    Operation operation) const;

 private:
  struct Backoff {
    Time until{0};
    Duration delay{0};
  };
  using BackoffMap = std::map<std::string, Backoff>;  // By route.

  Time Now() const;
  BackoffMap& BackoffsFor(Operation operation) {
    return operation == Operation::kRead ? read_backoffs_ : append_backoffs_;
  }
  // End of the backoff of a route. 0: it may be used. For appends, a failed
  // read counts until a read succeeds, also after its backoff.
  Time BackoffUntil(const std::string& route,
                    Operation operation,
                    Time now) const;

  const Options options_;
  mutable std::mutex mutex_;  // Guards the backoffs below.
  BackoffMap read_backoffs_;
  BackoffMap append_backoffs_;
};

inline constexpr char kDirectRoute[] = "";
std::string RouteName(const std::string& route);  // For log lines.

}  // namespace marjoramplank
