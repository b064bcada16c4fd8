#include "src/node/planner_fence.h"

#include <algorithm>

namespace marjoramplank {

namespace {

constexpr char kProducer[] = "planner";
// Producer epochs of one epoch of the ledger.
constexpr std::int64_t kFencesOfEpoch = 1'000'000;
// Doublings of the distance by which an election that was fenced off goes
// above; others raise their fences one by one.
constexpr std::int32_t kMostDoublings = 18;

}  // namespace

void PlannerFence::BeginElection(std::int64_t epoch) {
  base_ = epoch * kFencesOfEpoch;
  raised_ = (std::int64_t{1} << std::min(refusals_, kMostDoublings)) - 1;
  sequence_ = 0;
}

ProducerStamp PlannerFence::stamp() const {
  return {.id = kProducer, .epoch = base_ + raised_, .sequence = sequence_};
}

void PlannerFence::Raise() {
  ++raised_;
  sequence_ = 0;
}

void PlannerFence::OnFenced() {
  ++refusals_;
}

}  // namespace marjoramplank
