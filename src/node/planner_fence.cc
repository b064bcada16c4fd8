#include "src/node/planner_fence.h"

#include <algorithm>

namespace marjoramplank {

namespace {

constexpr char kPlannerProducerId[] = "planner";
// Producer epochs reserved for each planner epoch.
constexpr std::int64_t kProducerEpochsPerPlannerEpoch = 1'000'000;
// Largest number of doublings of an election's epoch offset. It doubles with
// each election that was fenced off and so overtakes other candidates, which
// raise the producer epoch one by one.
constexpr std::int32_t kMaxDoublings = 18;

}  // namespace

void PlannerFence::BeginElection(std::int64_t epoch) {
  base_epoch_ = epoch * kProducerEpochsPerPlannerEpoch;
  epoch_offset_ =
      (std::int64_t{1} << std::min(fenced_election_count_, kMaxDoublings)) - 1;
  next_sequence_ = 0;
}

ProducerStamp PlannerFence::stamp() const {
  return {.id = kPlannerProducerId,
          .epoch = base_epoch_ + epoch_offset_,
          .sequence = next_sequence_};
}

void PlannerFence::RaiseEpoch() {
  ++epoch_offset_;
  next_sequence_ = 0;
}

void PlannerFence::OnFenced() {
  ++fenced_election_count_;
}

}  // namespace marjoramplank
