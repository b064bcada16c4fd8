#include "src/relay/route_health.h"

#include <algorithm>
#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

const char* OperationName(RouteHealth::Operation operation) {
  return operation == RouteHealth::Operation::kRead ? "read" : "append";
}

}  // namespace

RouteHealth::RouteHealth(Options options) : options_(std::move(options)) {}

Time RouteHealth::Now() const {
  return options_.clock ? options_.clock() : BootClockNow();
}

void RouteHealth::RecordFailure(const std::string& route,
                                Operation operation,
                                const std::string& reason) {
  const Time now = Now();
  Duration delay{0};
  {
    const std::lock_guard lock(mutex_);
    Backoff& backoff = BackoffsFor(operation)[route];
    if (backoff.until > now) {
      return;  // Another connection has already recorded this failure.
    }
    backoff.delay = std::clamp(backoff.delay * 2, options_.min_backoff,
                               options_.max_backoff);
    backoff.until = now + backoff.delay;
    delay = backoff.delay;
  }
  LogEvent("way_to_log_failed")
      .With("way", RouteName(route))
      .With("use", OperationName(operation))
      .With("avoided_ms", delay.count())
      .With("reason", reason);
}

void RouteHealth::RecordSuccess(const std::string& route, Operation operation) {
  {
    const std::lock_guard lock(mutex_);
    if (BackoffsFor(operation).erase(route) == 0) {
      return;
    }
  }
  LogEvent("way_to_log_regained")
      .With("way", RouteName(route))
      .With("use", OperationName(operation));
}

Time RouteHealth::BackoffUntil(const std::string& route,
                               Operation operation,
                               Time now) const {
  const auto until = [&](const BackoffMap& backoffs) {
    const auto it = backoffs.find(route);
    return it == backoffs.end() ? Time{0} : it->second.until;
  };
  const Time own_until =
      until(operation == Operation::kRead ? read_backoffs_ : append_backoffs_);
  const Time active_until = own_until > now ? own_until : Time{0};
  return operation == Operation::kRead
             ? active_until
             : std::max(active_until, until(read_backoffs_));
}

void RouteHealth::SortByHealth(std::vector<std::string>& routes,
                               Operation operation) const {
  const Time now = Now();
  const std::lock_guard lock(mutex_);
  std::stable_sort(routes.begin(), routes.end(),
                   [&](const auto& a, const auto& b) {
                     return BackoffUntil(a, operation, now) <
                            BackoffUntil(b, operation, now);
                   });
}

std::string RouteName(const std::string& route) {
  return route == kDirectRoute ? "direct" : route;
}

}  // namespace marjoramplank
