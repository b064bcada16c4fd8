#include "src/node/planner_fence.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

// What the log service keeps of a producer.
struct ProducerState {
  std::int64_t epoch = -1;
  std::int64_t next = 0;

  AppendResult::Kind Take(const ProducerStamp& stamp) {
    if (stamp.epoch < epoch) {
      return AppendResult::Kind::kFenced;
    }
    if (stamp.epoch > epoch) {
      epoch = stamp.epoch;
      next = stamp.sequence;
    }
    if (stamp.sequence != next) {
      return AppendResult::Kind::kOutOfSequence;
    }
    ++next;
    return AppendResult::Kind::kStored;
  }
};

TEST_CASE("planner fence", "[planner_fence]") {
  ProducerState store;
  PlannerFence planner;
  planner.BeginElection(4);
  REQUIRE(store.Take(planner.stamp()) == AppendResult::Kind::kStored);
  planner.OnStored();

  SECTION("appends of one planner follow each other") {
    CHECK(store.Take(planner.stamp()) == AppendResult::Kind::kStored);
  }

  SECTION("an append without an answer can never come after the fence") {
    const ProducerStamp late = planner.stamp();
    planner.Raise();
    REQUIRE(store.Take(planner.stamp()) == AppendResult::Kind::kStored);
    CHECK(store.Take(late) == AppendResult::Kind::kFenced);
  }

  SECTION("an election that raised the fence and never came onto the ledger") {
    PlannerFence lost;
    lost.BeginElection(5);
    for (int n = 0; n < 5; ++n) {
      lost.Raise();
    }
    REQUIRE(store.Take(lost.stamp()) == AppendResult::Kind::kStored);
    REQUIRE(store.Take(planner.stamp()) == AppendResult::Kind::kFenced);

    SECTION("does not keep others from being elected to the same epoch") {
      AppendResult::Kind kind = AppendResult::Kind::kFenced;
      int tries = 0;
      while (kind == AppendResult::Kind::kFenced && tries < 10) {
        ++tries;
        planner.OnFenced();
        planner.BeginElection(5);
        kind = store.Take(planner.stamp());
      }
      CHECK(kind == AppendResult::Kind::kStored);
      CHECK(tries <= 4);
    }
  }
}

}  // namespace
}  // namespace marjoramplank
