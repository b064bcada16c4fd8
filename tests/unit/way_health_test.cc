#include "src/relay/way_health.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("health of the ways to the log", "[way_health]") {
  Time now = 10s;
  WayHealth health(
      {.avoid = 400ms, .avoid_max = 3s, .clock = [&] { return now; }});
  using Use = WayHealth::Use;
  const auto best = [&](Use use) {
    std::vector<std::string> ways = {kDirectWay, "near", "far"};
    health.Sort(ways, use);
    return ways.front();
  };

  SECTION("the preferred way is taken while nothing speaks against it") {
    CHECK(best(Use::kRead) == kDirectWay);
    CHECK(best(Use::kAppend) == kDirectWay);
  }

  SECTION("a failed read turns appends away too, until a read came through") {
    health.Failed(kDirectWay, Use::kRead, "timeout");
    CHECK(best(Use::kRead) == "near");
    CHECK(best(Use::kAppend) == "near");
    now += 500ms;
    CHECK(best(Use::kRead) == kDirectWay);
    CHECK(best(Use::kAppend) == "near");
    health.Worked(kDirectWay, Use::kRead);
    CHECK(best(Use::kAppend) == kDirectWay);
  }

  SECTION("a failed append leaves reads alone, and a read does not clear it") {
    health.Failed(kDirectWay, Use::kAppend, "status 429");
    health.Worked(kDirectWay, Use::kRead);
    CHECK(best(Use::kRead) == kDirectWay);
    CHECK(best(Use::kAppend) == "near");
    now += 500ms;
    CHECK(best(Use::kAppend) == kDirectWay);
  }

  SECTION("one failure that several connections meet counts once") {
    for (int n = 0; n < 4; ++n) {
      health.Failed(kDirectWay, Use::kRead, "timeout");
    }
    now += 401ms;
    CHECK(best(Use::kRead) == kDirectWay);
    health.Failed(kDirectWay, Use::kRead, "timeout");
    now += 401ms;
    CHECK(best(Use::kRead) == "near");
  }

  SECTION("when all have failed, the one that failed longest ago is tried") {
    health.Failed("near", Use::kRead, "timeout");
    now += 10ms;
    health.Failed(kDirectWay, Use::kRead, "timeout");
    now += 10ms;
    health.Failed("far", Use::kRead, "timeout");
    CHECK(best(Use::kRead) == "near");
  }
}

}  // namespace
}  // namespace marjoramplank
