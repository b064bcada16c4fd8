#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/node/campaign_schedule.h"
#include "src/node/planner_leadership.h"

namespace marjoramplank {
namespace {

// The partition of the ledger, in virtual time: one append after the other,
// each at the speed that the log service has when it arrives. An append that
// would wait for more than 2 s is refused.
class SlowPartition {
 public:
  static constexpr Duration kMaxWait = 2s;
  static constexpr Duration kSlowAppend = 63ms;
  static constexpr Duration kUsualAppend = 1ms;

  explicit SlowPartition(Time fast_at) : fast_at_(fast_at) {}

  // Returns when the append is stored. Nothing: it is refused.
  std::optional<Time> Append(Time now) {
    busy_until_ = std::max(busy_until_, now);
    if (busy_until_ - now > kMaxWait) {
      return std::nullopt;
    }
    busy_until_ += now < fast_at_ ? kSlowAppend : kUsualAppend;
    return busy_until_;
  }

 private:
  const Time fast_at_;
  Time busy_until_{0};
};

constexpr Time kFastAt = 4300ms;
constexpr Duration kRefusal = 4ms;  // Time until a refusal is received.
// Records of the other writers, each of which takes 63 ms: more than the log
// service can store while it is slow.
constexpr Duration kOtherAppends = 25ms;
// From an append until the other entries have read it.
constexpr Duration kRead = 60ms;

struct Outcome {
  std::optional<Time> elected_at;  // The first election is stored.
  // The elected entry does not wait for an answer, and so plans.
  Time planner_at{0};
  std::vector<std::vector<Time>> elections;  // Sent, by entry.
};

// The planner has resigned at 0 s, in a log service that is slow until
// `kFastAt` and whose queue the other writers have filled.
Outcome Campaign(int entries, int names) {
  const Duration timeout = AdaptiveTimeout::Options{}.min_timeout;
  SlowPartition partition(kFastAt);
  while (partition.Append(Time{0})) {
  }
  Outcome outcome{.elections = std::vector<std::vector<Time>>(
                      static_cast<std::size_t>(entries))};
  std::size_t elected = 0;
  std::vector<CampaignSchedule> schedules;
  std::vector<Time> ready_at;
  for (int n = 0; n < entries; ++n) {
    schedules.emplace_back(
        "edge-" + std::to_string(names) + "-" + std::to_string(n),
        CampaignSchedule::Options{});
    ready_at.push_back(Time{0} + schedules.back().DelayOf(
                                     1, static_cast<std::size_t>(entries)));
  }
  for (Time now{0}; now < 20s; now += 1ms) {
    if (outcome.elected_at && now > *outcome.elected_at + kRead) {
      outcome.planner_at =
          std::max(*outcome.elected_at + kRead, ready_at[elected]);
      break;
    }
    if (now % kOtherAppends == Duration(0)) {
      partition.Append(now);
    }
    for (std::size_t n = 0; n < schedules.size(); ++n) {
      if (now < ready_at[n] || !schedules[n].MayTry(now)) {
        continue;
      }
      const std::optional<Time> stored_at = partition.Append(now);
      outcome.elections[n].push_back(now);
      if (stored_at && *stored_at < outcome.elected_at.value_or(kNever)) {
        outcome.elected_at = stored_at;
        elected = n;
      }
      ready_at[n] = now + kRefusal;
      if (stored_at) {
        ready_at[n] = std::min(now + timeout, *stored_at);
      }
      schedules[n].OnFailure(ready_at[n],
                             stored_at ? CampaignSchedule::Failure::kQueued
                                       : CampaignSchedule::Failure::kBusy);
    }
  }
  return outcome;
}

// Guards against elections that fill the queue of a slow log service (each
// entry campaigned again 0.3 s after a failure, for as long as the queue was
// full), and against an elected entry that waits for a repeat of its election.
TEST_CASE("entries campaign on a slow log service", "[election]") {
  const CampaignSchedule::Options schedule;
  const Duration takeover =
      PlannerLeadership::Options{}.election_timeout + schedule.max_spread;
  for (const int entries : {1, 2, 3, 12, 55}) {
    for (int names = 0; names < 20; ++names) {
      const Outcome outcome = Campaign(entries, names);
      CAPTURE(entries, names);
      REQUIRE(outcome.elected_at);
      CHECK(*outcome.elected_at <= kFastAt + takeover);
      CHECK(outcome.planner_at == *outcome.elected_at + kRead);
      for (const std::vector<Time>& sent : outcome.elections) {
        for (std::size_t n = 1; n < sent.size(); ++n) {
          // So at most one election a second and entry.
          CHECK(sent[n] - sent[n - 1] >= schedule.busy_backoff);
        }
      }
    }
  }
}

}  // namespace
}  // namespace marjoramplank
