#include "src/node/planner_leadership.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Separates the machine's name and the random run number of a planner id.
constexpr char kRunSeparator[] = "#";
// Beyond, they are planned once more.
constexpr std::size_t kMaxOversizedStarts = 10'000;

}  // namespace

PlannerLeadership::PlannerLeadership(Options options,
                                     std::unique_ptr<LogStore> store,
                                     FallbackAppend fallback_append)
    : options_(std::move(options)),
      id_(options_.name + kRunSeparator +
          std::to_string(std::random_device{}())),
      store_(std::move(store)),
      fallback_append_(std::move(fallback_append)),
      schedule_(options_.name, {}),
      append_timeout_(options_.append_timeout),
      limits_(options_.limits) {}

bool PlannerLeadership::IsLeader(const PlannerView& planner_view) const {
  return planner_view.planner_id == id_ &&
         planner_view.epoch != relinquished_epoch_;
}

bool PlannerLeadership::MayCampaign(const PlannerView& planner_view,
                                    Time now,
                                    bool is_draining,
                                    std::size_t entries) {
  if (planner_view.epoch != scheduled_epoch_) {
    scheduled_epoch_ = planner_view.epoch;
    schedule_.OnSuccess();
  }
  if (!schedule_.MayTry(now)) {
    return false;
  }
  // There is no planner, or it was an earlier run of this process, or it is
  // this run and has stepped down.
  const bool was_self =
      planner_view.planner_id.starts_with(options_.name + kRunSeparator);
  const bool vacant =
      planner_view.epoch > 0 && (planner_view.planner_id.empty() || was_self);
  const Duration delay =
      was_self ? Duration(0) : schedule_.DelayOf(planner_view.epoch, entries);
  if (vacant) {
    return now - planner_view.last_heartbeat_at >
           delay + (is_draining ? options_.draining_delay : Duration(0));
  }
  const Time since =
      std::max(planner_view.last_heartbeat_at, planner_view.readable_since);
  return now - since > options_.election_timeout + delay;
}

std::optional<std::int64_t> PlannerLeadership::Campaign(std::int64_t epoch) {
  fence_.BeginElection(epoch);
  // An election without an answer needs no fence: if it is stored late, it is
  // as good, or void.
  const AppendResult result =
      AppendFenced({EncodeRecord(PlannerElected{.entry = id_, .epoch = epoch})},
                   epoch - 1, ElectionAppendTimeout());
  const bool stored = result.kind == AppendResult::Kind::kStored;
  election_unconfirmed_ = !stored;
  if (!stored) {
    schedule_.OnFailure(BootClockNow(), ElectionFailure(result));
  }
  LogEvent("planner_election").With("epoch", epoch).With("stored", stored);
  return stored ? std::optional(result.first_offset + 1) : std::nullopt;
}

CampaignSchedule::Failure PlannerLeadership::ElectionFailure(
    const AppendResult& result) const {
  if (result.is_busy) {
    return CampaignSchedule::Failure::kBusy;
  }
  return result.kind == AppendResult::Kind::kUnknown &&
                 IsReadable(BootClockNow())
             ? CampaignSchedule::Failure::kQueued
             : CampaignSchedule::Failure::kNoAnswer;
}

std::optional<std::int64_t> PlannerLeadership::Append(
    const std::vector<LedgerRecord>& records,
    std::int64_t epoch) {
  if (election_unconfirmed_) {
    // The log service would take an append with the stamp of the election for a
    // repeat of it, answer as for the election, and store nothing.
    election_unconfirmed_ = false;
    fence_.RaiseEpoch();
  }
  const std::vector<std::string> encoded = EncodeAppendable(records);
  const Time begun_at = BootClockNow();
  std::optional<std::int64_t> log_end;
  std::size_t begin = 0;
  while (begin < encoded.size()) {
    const Time sent_at = BootClockNow();
    if (log_end && sent_at - begun_at >= options_.max_append_time) {
      break;
    }
    const std::vector<std::string> part(
        encoded.begin() + static_cast<std::ptrdiff_t>(begin),
        encoded.begin() +
            static_cast<std::ptrdiff_t>(limits_.EndOfPart(encoded, begin)));
    const AppendResult result =
        AppendFenced(part, epoch, PlannerAppendTimeout(sent_at));
    if (result.is_too_large && limits_.OnTooLarge(part)) {
      begin += part.size() == 1 ? 1 : 0;  // A single record is left out.
      continue;
    }
    if (result.kind != AppendResult::Kind::kStored) {
      OnAppendFailed(result, sent_at, epoch);
      break;
    }
    failing_since_ = Time{0};
    begin += part.size();
    log_end = result.first_offset + static_cast<std::int64_t>(part.size());
  }
  return log_end;
}

std::vector<std::string> PlannerLeadership::EncodeAppendable(
    const std::vector<LedgerRecord>& records) {
  std::vector<std::string> out;
  out.reserve(records.size());
  for (const LedgerRecord& r : records) {
    std::string bytes = EncodeRecord(r);
    if (!limits_.MayAppend(bytes)) {
      LedgerRecord reduced = r;
      bytes = DropCheckpoint(reduced) ? EncodeRecord(reduced) : bytes;
    }
    if (limits_.MayAppend(bytes)) {
      out.push_back(std::move(bytes));
      continue;
    }
    const auto* start = std::get_if<RunStarted>(&r);
    LogEvent("decision_too_large")
        .With("bytes", bytes.size())
        .With("task", start == nullptr ? "" : ToString(start->first));
    if (start != nullptr) {
      if (oversized_starts_.size() >= kMaxOversizedStarts) {
        oversized_starts_.clear();
      }
      oversized_starts_.insert(start->first);
    }
  }
  return out;
}

void PlannerLeadership::OnAppendFailed(const AppendResult& result,
                                       Time sent_at,
                                       std::int64_t epoch) {
  const bool is_first_failure = failing_since_ == Time{0};
  failing_since_ = is_first_failure ? sent_at : failing_since_;
  if (result.kind == AppendResult::Kind::kOutOfSequence ||
      (result.kind == AppendResult::Kind::kUnknown && is_first_failure)) {
    RaiseFence();
  } else if (result.kind == AppendResult::Kind::kUnknown) {
    // The next append fences off this one as well. An empty append for that
    // would only take another place in the queue of a slow log service.
    fence_.RaiseEpoch();
  }
  const bool is_failing = failing_since_ != Time{0};
  if (is_failing && BootClockNow() - failing_since_ >= StepDownAfter(result)) {
    StepDown(epoch, BootClockNow() - failing_since_);
  }
}

Duration PlannerLeadership::StepDownAfter(const AppendResult& result) const {
  // A full queue refuses the appends of any other planner as well; that it was
  // answered shows that the log service can be reached.
  const bool is_slow_for_all =
      result.is_busy ||
      (result.kind == AppendResult::Kind::kUnknown && options_.last_read_at &&
       options_.last_read_at() > failing_since_);
  return is_slow_for_all ? options_.step_down_after_if_readable
                         : options_.step_down_after;
}

bool PlannerLeadership::IsReadable(Time now) const {
  return options_.last_read_at &&
         options_.last_read_at() > now - options_.election_timeout;
}

Duration PlannerLeadership::ElectionAppendTimeout() const {
  return std::min(append_timeout_.current(), options_.max_timeout_otherwise);
}

Duration PlannerLeadership::PlannerAppendTimeout(Time now) const {
  if (!IsReadable(now)) {
    return ElectionAppendTimeout();
  }
  return failing_since_ == Time{0} ? append_timeout_.current()
                                   : options_.append_timeout.max_timeout;
}

AppendResult PlannerLeadership::AppendFenced(
    const std::vector<std::string>& records,
    std::int64_t epoch,
    Duration timeout) {
  const Time sent_at = BootClockNow();
  AppendResult result =
      store_->Append(options_.records, records, fence_.stamp(), timeout);
  if (result.kind == AppendResult::Kind::kStored) {
    append_timeout_.OnResponse(BootClockNow() - sent_at);
    fence_.OnStored();
    return result;
  }
  LogEvent("planner_append_failed")
      .With("records", records.size())
      .With("epoch", epoch)
      .With("producer_epoch", fence_.stamp().epoch)
      .With("reason", result.reason);
  if (result.kind == AppendResult::Kind::kUnknown) {
    append_timeout_.OnTimeout();
  }
  if (result.kind == AppendResult::Kind::kFenced) {
    // Another entry campaigned, and its election may never have reached the
    // ledger. In that case the next campaign uses a larger epoch offset.
    fence_.OnFenced();
    relinquished_epoch_ = epoch;
  }
  return result;
}

// Fences off an append without an answer, so that it cannot be stored later.
void PlannerLeadership::RaiseFence() {
  fence_.RaiseEpoch();
  const AppendResult result = store_->Append(
      options_.records, {}, fence_.stamp(), options_.fence_timeout);
  const bool stored = result.kind == AppendResult::Kind::kStored;
  if (stored) {
    failing_since_ = Time{0};  // The log service answers.
  }
  LogEvent("planner_fence_raised")
      .With("producer_epoch", fence_.stamp().epoch)
      .With("stored", stored)
      .With("reason", result.reason);
}

void PlannerLeadership::StepDown(std::int64_t epoch, Duration failing_for) {
  failing_since_ = Time{0};
  if (relinquished_epoch_ == epoch) {
    return;  // Already fenced off or stepped down.
  }
  relinquished_epoch_ = epoch;
  fallback_append_(PlannerResigned{.entry = id_, .epoch = epoch});
  LogEvent("planner_handed_over")
      .With("epoch", epoch)
      .With("failing_ms", failing_for.count());
}

}  // namespace marjoramplank
