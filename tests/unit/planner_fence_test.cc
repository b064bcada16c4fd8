#include "src/node/planner_fence.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

// The state that the log service keeps for a producer.
struct ProducerState {
  std::int64_t epoch = -1;
  std::int64_t next_sequence = 0;

  AppendResult::Kind Append(const ProducerStamp& stamp) {
    if (stamp.epoch < epoch) {
      return AppendResult::Kind::kFenced;
    }
    if (stamp.epoch > epoch) {
      epoch = stamp.epoch;
      next_sequence = stamp.sequence;
    }
    if (stamp.sequence != next_sequence) {
      return AppendResult::Kind::kOutOfSequence;
    }
    ++next_sequence;
    return AppendResult::Kind::kStored;
  }
};

TEST_CASE("planner fence", "[planner_fence]") {
  ProducerState store;
  PlannerFence planner;
  planner.BeginElection(4);
  REQUIRE(store.Append(planner.stamp()) == AppendResult::Kind::kStored);
  planner.OnStored();

  SECTION("consecutive appends of one planner are stored") {
    CHECK(store.Append(planner.stamp()) == AppendResult::Kind::kStored);
  }

  SECTION("a late append is rejected once the producer epoch was raised") {
    const ProducerStamp late_stamp = planner.stamp();
    planner.RaiseEpoch();
    REQUIRE(store.Append(planner.stamp()) == AppendResult::Kind::kStored);
    CHECK(store.Append(late_stamp) == AppendResult::Kind::kFenced);
  }

  SECTION("election that raised the epoch but never reached the ledger") {
    PlannerFence lost_candidate;
    lost_candidate.BeginElection(5);
    for (int n = 0; n < 5; ++n) {
      lost_candidate.RaiseEpoch();
    }
    REQUIRE(store.Append(lost_candidate.stamp()) ==
            AppendResult::Kind::kStored);
    REQUIRE(store.Append(planner.stamp()) == AppendResult::Kind::kFenced);

    SECTION("does not block another candidate for the same planner epoch") {
      AppendResult::Kind kind = AppendResult::Kind::kFenced;
      int attempts = 0;
      while (kind == AppendResult::Kind::kFenced && attempts < 10) {
        ++attempts;
        planner.OnFenced();
        planner.BeginElection(5);
        kind = store.Append(planner.stamp());
      }
      CHECK(kind == AppendResult::Kind::kStored);
      CHECK(attempts <= 4);
    }
  }
}

}  // namespace
}  // namespace marjoramplank
