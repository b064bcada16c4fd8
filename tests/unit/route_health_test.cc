#include "src/relay/route_health.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("health of the routes to the log", "[way_health]") {
  Time now = 10s;
  RouteHealth health(
      {.min_backoff = 400ms, .max_backoff = 3s, .clock = [&] { return now; }});
  using Operation = RouteHealth::Operation;
  const auto best_route = [&](Operation operation) {
    std::vector<std::string> routes = {kDirectRoute, "near", "far"};
    health.SortByHealth(routes, operation);
    return routes.front();
  };

  SECTION("the preferred route is used while it has not failed") {
    CHECK(best_route(Operation::kRead) == kDirectRoute);
    CHECK(best_route(Operation::kAppend) == kDirectRoute);
  }

  SECTION("a failed read diverts appends too, until a read succeeds") {
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    CHECK(best_route(Operation::kRead) == "near");
    CHECK(best_route(Operation::kAppend) == "near");
    now += 500ms;
    CHECK(best_route(Operation::kRead) == kDirectRoute);
    CHECK(best_route(Operation::kAppend) == "near");
    health.RecordSuccess(kDirectRoute, Operation::kRead);
    CHECK(best_route(Operation::kAppend) == kDirectRoute);
  }

  SECTION(
      "a failed append does not divert reads, and a read does not clear it") {
    health.RecordFailure(kDirectRoute, Operation::kAppend, "status 429");
    health.RecordSuccess(kDirectRoute, Operation::kRead);
    CHECK(best_route(Operation::kRead) == kDirectRoute);
    CHECK(best_route(Operation::kAppend) == "near");
    now += 500ms;
    CHECK(best_route(Operation::kAppend) == kDirectRoute);
  }

  SECTION("a failure seen by several connections counts once") {
    for (int n = 0; n < 4; ++n) {
      health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    }
    now += 401ms;
    CHECK(best_route(Operation::kRead) == kDirectRoute);
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    now += 401ms;
    CHECK(best_route(Operation::kRead) == "near");
  }

  SECTION("if all routes have failed, the one that failed first is tried") {
    health.RecordFailure("near", Operation::kRead, "timeout");
    now += 10ms;
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    now += 10ms;
    health.RecordFailure("far", Operation::kRead, "timeout");
    CHECK(best_route(Operation::kRead) == "near");
  }
}

}  // namespace
}  // namespace marjoramplank
