#include "src/node/planner_seat.h"

#include <catch2/catch.hpp>

#include "src/node/clock.h"

namespace marjoramplank {
namespace {

// Answers appends of decisions as told, and empty ones, which only raise the
// fence, apart from them.
class ScriptedStore final : public LogStore {
 public:
  struct Script {
    AppendResult::Kind decisions = AppendResult::Kind::kStored;
    AppendResult::Kind fences = AppendResult::Kind::kStored;
  };
  explicit ScriptedStore(const Script& script) : script_(script) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp&,
                      Duration) override {
    return {.kind = records.empty() ? script_.fences : script_.decisions,
            .offset = 7};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  NewestResult Newest(const LogPartition&, Duration) override { return {}; }

 private:
  const Script& script_;
};

TEST_CASE("planner's seat", "[planner_seat]") {
  ScriptedStore::Script script;
  std::vector<LedgerRecord> others_way;
  PlannerSeat seat(
      {.name = "e", .records = {.topic = "t"}, .hand_over_after = 0ms},
      std::make_unique<ScriptedStore>(script),
      [&](LedgerRecord r) { others_way.push_back(std::move(r)); });
  REQUIRE(seat.Stand(3) == 8);
  const Time now = BootTime();
  const PlannerSight mine{
      .planner = seat.id(), .epoch = 3, .planner_seen = now};
  const std::vector<LedgerRecord> decisions = {JobCancelled{.job = "j"},
                                               JobCancelled{.job = "k"}};
  REQUIRE(seat.Leads(mine));

  SECTION("tells the end of what was stored") {
    CHECK(seat.Append(decisions, 3) == 9);
    CHECK(others_way.empty());
  }

  SECTION("is handed over in another way when the store turns it away") {
    script.decisions = AppendResult::Kind::kRefused;
    CHECK(seat.Append(decisions, 3) == std::nullopt);
    CHECK(others_way == std::vector<LedgerRecord>{
                            PlannerResigned{.entry = seat.id(), .epoch = 3}});
    CHECK_FALSE(seat.Leads(mine));

    SECTION("and may be stood for again at once if nobody took it") {
      CHECK(seat.MayStand(mine, now + 1ms, false));
    }
    SECTION("and is told once") {
      seat.Append(decisions, 3);
      CHECK(others_way.size() == 1);
    }
  }

  SECTION("is kept when only the answer was lost") {
    script.decisions = AppendResult::Kind::kUnknown;
    CHECK(seat.Append(decisions, 3) == std::nullopt);
    CHECK(others_way.empty());
    CHECK(seat.Leads(mine));
  }

  SECTION("is handed over when the store does not answer at all") {
    script.decisions = AppendResult::Kind::kUnknown;
    script.fences = AppendResult::Kind::kUnknown;
    seat.Append(decisions, 3);
    CHECK(others_way.size() == 1);
  }

  SECTION("is lost to whoever stood above") {
    script.decisions = AppendResult::Kind::kFenced;
    seat.Append(decisions, 3);
    CHECK_FALSE(seat.Leads(mine));
  }

  SECTION("of another entry is taken only after its silence") {
    const PlannerSight other{.planner = "f#1", .epoch = 4, .planner_seen = now};
    CHECK_FALSE(seat.MayStand(other, now + 1200ms, false));
    CHECK(seat.MayStand(other, now + 1400ms, false));
  }

  SECTION("that is vacant goes to those that stay before one that leaves") {
    const PlannerSight vacant{.epoch = 4, .planner_seen = now};
    CHECK(seat.MayStand(vacant, now + 1ms, false));
    CHECK_FALSE(seat.MayStand(vacant, now + 100ms, true));
  }
}

}  // namespace
}  // namespace marjoramplank
