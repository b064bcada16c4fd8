#include "src/node/planner_seat.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

constexpr char kRunMark[] = "#";  // Between a machine's name and the run.

}  // namespace

PlannerSeat::PlannerSeat(Options options,
                         std::unique_ptr<LogStore> store,
                         OtherWay other_way)
    : options_(std::move(options)),
      id_(options_.name + kRunMark + std::to_string(std::random_device{}())),
      store_(std::move(store)),
      other_way_(std::move(other_way)),
      patience_(options_.patience) {}

bool PlannerSeat::Leads(const PlannerSight& sight) const {
  return sight.planner == id_ && sight.epoch != left_in_;
}

bool PlannerSeat::MayStand(const PlannerSight& sight,
                           Time now,
                           bool leaving) const {
  // Nobody plans, or an earlier run of this very process did, or this one did
  // and has left the seat.
  const bool vacant =
      sight.epoch > 0 && (sight.planner.empty() ||
                          sight.planner.starts_with(options_.name + kRunMark));
  if (vacant) {
    return now - sight.planner_seen >
           (leaving ? options_.leaving_patience : Duration(0));
  }
  const Time since = std::max(sight.planner_seen, sight.readable_since);
  return now - since > options_.silence;
}

std::optional<std::int64_t> PlannerSeat::Stand(std::int64_t epoch) {
  fence_.BeginElection(epoch);
  // Without an answer it is simply repeated: an election that comes late is as
  // good, or void.
  const AppendResult result =
      AppendFenced({PlannerElected{.entry = id_, .epoch = epoch}}, epoch - 1);
  const bool stored = result.kind == AppendResult::Kind::kStored;
  LogEvent("planner_election").With("epoch", epoch).With("stored", stored);
  return stored ? std::optional(result.offset + 1) : std::nullopt;
}

std::optional<std::int64_t> PlannerSeat::Append(
    const std::vector<LedgerRecord>& records,
    std::int64_t epoch) {
  const Time sent = BootTime();
  const AppendResult result = AppendFenced(records, epoch);
  if (result.kind == AppendResult::Kind::kStored) {
    failing_since_ = Time{0};
    return result.offset + static_cast<std::int64_t>(records.size());
  }
  failing_since_ = failing_since_ == Time{0} ? sent : failing_since_;
  if (result.kind == AppendResult::Kind::kUnknown ||
      result.kind == AppendResult::Kind::kOutOfSequence) {
    RaiseFence();
  }
  const bool failing = failing_since_ != Time{0};
  if (failing && BootTime() - failing_since_ >= options_.hand_over_after) {
    HandOver(epoch, BootTime() - failing_since_);
  }
  return std::nullopt;
}

AppendResult PlannerSeat::AppendFenced(const std::vector<LedgerRecord>& records,
                                       std::int64_t epoch) {
  std::vector<std::string> bytes;
  bytes.reserve(records.size());
  for (const LedgerRecord& r : records) {
    bytes.push_back(EncodeRecord(r));
  }
  const Time sent = BootTime();
  AppendResult result = store_->Append(options_.records, bytes, fence_.stamp(),
                                       patience_.limit());
  if (result.kind == AppendResult::Kind::kStored) {
    patience_.OnAnswer(BootTime() - sent);
    fence_.OnStored();
    return result;
  }
  LogEvent("planner_append_failed")
      .With("records", records.size())
      .With("epoch", epoch)
      .With("producer_epoch", fence_.stamp().epoch)
      .With("reason", result.reason);
  if (result.kind == AppendResult::Kind::kUnknown) {
    patience_.OnSilence();
  }
  if (result.kind == AppendResult::Kind::kFenced) {
    // Somebody stood for election, and may never have come onto the ledger:
    // whoever finds that stands again, further above.
    fence_.OnFenced();
    left_in_ = epoch;
  }
  return result;
}

// After an append without an answer: makes sure that it never comes.
void PlannerSeat::RaiseFence() {
  fence_.Raise();
  const AppendResult result = store_->Append(
      options_.records, {}, fence_.stamp(), options_.raise_limit);
  const bool stored = result.kind == AppendResult::Kind::kStored;
  if (stored) {
    failing_since_ = Time{0};  // The store answers.
  }
  LogEvent("planner_fence_raised")
      .With("producer_epoch", fence_.stamp().epoch)
      .With("stored", stored)
      .With("reason", result.reason);
}

void PlannerSeat::HandOver(std::int64_t epoch, Duration failing) {
  failing_since_ = Time{0};
  if (left_in_ == epoch) {
    return;  // Fenced off already.
  }
  left_in_ = epoch;
  other_way_(PlannerResigned{.entry = id_, .epoch = epoch});
  LogEvent("planner_handed_over")
      .With("epoch", epoch)
      .With("failing_ms", failing.count());
}

}  // namespace marjoramplank
