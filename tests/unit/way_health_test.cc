#include "src/relay/way_health.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("health of the ways to the log", "[way_health]") {
  Time now = 10s;
  RouteHealth health(
      {.min_backoff = 400ms, .max_backoff = 3s, .clock = [&] { return now; }});
  using Operation = RouteHealth::Operation;
  const auto best = [&](Operation operation) {
    std::vector<std::string> routes = {kDirectRoute, "near", "far"};
    health.SortByHealth(routes, operation);
    return routes.front();
  };

  SECTION("the preferred way is taken while nothing speaks against it") {
    CHECK(best(Operation::kRead) == kDirectRoute);
    CHECK(best(Operation::kAppend) == kDirectRoute);
  }

  SECTION("a failed read turns appends away too, until a read came through") {
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    CHECK(best(Operation::kRead) == "near");
    CHECK(best(Operation::kAppend) == "near");
    now += 500ms;
    CHECK(best(Operation::kRead) == kDirectRoute);
    CHECK(best(Operation::kAppend) == "near");
    health.RecordSuccess(kDirectRoute, Operation::kRead);
    CHECK(best(Operation::kAppend) == kDirectRoute);
  }

  SECTION("a failed append leaves reads alone, and a read does not clear it") {
    health.RecordFailure(kDirectRoute, Operation::kAppend, "status 429");
    health.RecordSuccess(kDirectRoute, Operation::kRead);
    CHECK(best(Operation::kRead) == kDirectRoute);
    CHECK(best(Operation::kAppend) == "near");
    now += 500ms;
    CHECK(best(Operation::kAppend) == kDirectRoute);
  }

  SECTION("one failure that several connections meet counts once") {
    for (int n = 0; n < 4; ++n) {
      health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    }
    now += 401ms;
    CHECK(best(Operation::kRead) == kDirectRoute);
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    now += 401ms;
    CHECK(best(Operation::kRead) == "near");
  }

  SECTION("when all have failed, the one that failed longest ago is tried") {
    health.RecordFailure("near", Operation::kRead, "timeout");
    now += 10ms;
    health.RecordFailure(kDirectRoute, Operation::kRead, "timeout");
    now += 10ms;
    health.RecordFailure("far", Operation::kRead, "timeout");
    CHECK(best(Operation::kRead) == "near");
  }
}

}  // namespace
}  // namespace marjoramplank
