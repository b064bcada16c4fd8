#include "src/relay/way_health.h"

#include <algorithm>
#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

const char* NameOf(WayHealth::Use use) {
  return use == WayHealth::Use::kRead ? "read" : "append";
}

}  // namespace

WayHealth::WayHealth(Options options) : options_(std::move(options)) {}

Time WayHealth::Now() const {
  return options_.clock ? options_.clock() : BootTime();
}

void WayHealth::Failed(const std::string& way,
                       Use use,
                       const std::string& reason) {
  const Time now = Now();
  Duration span{0};
  {
    const std::lock_guard lock(mutex_);
    Avoidance& avoidance = Of(use)[way];
    if (avoidance.until > now) {
      return;  // Another connection met the same failure.
    }
    avoidance.span =
        std::clamp(avoidance.span * 2, options_.avoid, options_.avoid_max);
    avoidance.until = now + avoidance.span;
    span = avoidance.span;
  }
  LogEvent("way_to_log_failed")
      .With("way", NameOfWay(way))
      .With("use", NameOf(use))
      .With("avoided_ms", span.count())
      .With("reason", reason);
}

void WayHealth::Worked(const std::string& way, Use use) {
  {
    const std::lock_guard lock(mutex_);
    if (Of(use).erase(way) == 0) {
      return;
    }
  }
  LogEvent("way_to_log_regained")
      .With("way", NameOfWay(way))
      .With("use", NameOf(use));
}

Time WayHealth::LastChoiceUntil(const std::string& way,
                                Use use,
                                Time now) const {
  const auto until = [&](const Avoidances& of) {
    const auto it = of.find(way);
    return it == of.end() ? Time{0} : it->second.until;
  };
  const Time own = until(use == Use::kRead ? reads_ : appends_);
  const Time open = own > now ? own : Time{0};
  return use == Use::kRead ? open : std::max(open, until(reads_));
}

void WayHealth::Sort(std::vector<std::string>& ways, Use use) const {
  const Time now = Now();
  const std::lock_guard lock(mutex_);
  std::stable_sort(ways.begin(), ways.end(), [&](const auto& a, const auto& b) {
    return LastChoiceUntil(a, use, now) < LastChoiceUntil(b, use, now);
  });
}

std::string NameOfWay(const std::string& way) {
  return way == kDirectWay ? "direct" : way;
}

}  // namespace marjoramplank
