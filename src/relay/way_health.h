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
class WayHealth {
 public:
  struct Options {
    // A way that failed is not tried for this long, unless all failed; doubled
    // with each failure after that.
    Duration avoid{400};
    Duration avoid_max{3000};
    std::function<Time()> clock;  // Empty: BootTime().
  };
  // Reads and appends fail apart from each other: an entry that is turned away
  // by the store goes on telling what it hears from others. Both try a way
  // again when its span is over, but an append leaves a way alone where reads
  // failed until one has come through: a caller's request is no probe.
  enum class Use { kRead, kAppend };

  explicit WayHealth(Options options);

  void Failed(const std::string& way, Use use, const std::string& reason);
  void Worked(const std::string& way, Use use);
  // Puts the ways that failed last, the longest ago first. Stable otherwise.
  void Sort(std::vector<std::string>& ways, Use use) const;

 private:
  struct Avoidance {
    Time until{0};
    Duration span{0};
  };
  using Avoidances = std::map<std::string, Avoidance>;  // By way.

  Time Now() const;
  Avoidances& Of(Use use) { return use == Use::kRead ? reads_ : appends_; }
  // 0: nothing speaks against the way.
  Time LastChoiceUntil(const std::string& way, Use use, Time now) const;

  const Options options_;
  mutable std::mutex mutex_;  // Guards the two below.
  Avoidances reads_;
  Avoidances appends_;
};

inline constexpr char kDirectWay[] = "";
std::string NameOfWay(const std::string& way);  // For the log.

}  // namespace marjoramplank
