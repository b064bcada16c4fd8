#include "src/node/campaign_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace marjoramplank {
namespace {

TEST_CASE("campaign schedule: 55 entries lose their planner", "[election]") {
  std::vector<Duration> delays;
  for (int n = 0; n < 55; ++n) {
    const CampaignSchedule schedule("edge-" + std::to_string(n), {});
    delays.push_back(schedule.DelayOf(/*epoch=*/7, /*entries=*/55));
  }
  std::sort(delays.begin(), delays.end());

  SECTION("the first campaigns soon") {
    CHECK(delays.front() <= 60ms);
  }
  SECTION("few campaign before its election can be read") {
    // An append, and a read of an entry that follows.
    const Duration election_known = delays.front() + 60ms;
    CHECK(std::count_if(delays.begin(), delays.end(), [&](Duration delay) {
            return delay <= election_known;
          }) <= 8);
  }
  SECTION("all campaign within the spread") {
    CHECK(delays.back() <= 800ms);
  }
}

TEST_CASE("campaign schedule: a few entries hardly wait", "[election]") {
  for (int n = 0; n < 3; ++n) {
    const CampaignSchedule schedule("edge-" + std::to_string(n), {});
    CHECK(schedule.DelayOf(2, 3) <= 45ms);
  }
}

TEST_CASE("campaign schedule: campaigns without success back off",
          "[election]") {
  CampaignSchedule schedule("edge-1", {});
  Time now = 10s;
  int tries = 0;
  for (; now < 20s; now += 10ms) {
    if (schedule.MayTry(now)) {
      ++tries;
      schedule.OnFailure(now);
    }
  }
  CHECK(tries <= 10);

  SECTION("until a planner is elected") {
    schedule.OnSuccess();
    CHECK(schedule.MayTry(now));
  }
}

// Guards against entries that campaign in step for as long as the log service
// is slow, because each waits for the same time after a failure.
TEST_CASE("campaign schedule: entries that failed together spread",
          "[election]") {
  constexpr int kEntries = 55;
  constexpr Time kFailedAt = 10s;
  std::vector<CampaignSchedule> schedules;
  schedules.reserve(kEntries);
  for (int n = 0; n < kEntries; ++n) {
    schedules.emplace_back("edge-" + std::to_string(n),
                           CampaignSchedule::Options{});
  }
  const auto count_ready = [&](Time now) {
    return std::count_if(
        schedules.begin(), schedules.end(),
        [&](const CampaignSchedule& s) { return s.MayTry(now); });
  };
  const CampaignSchedule::Options options;

  SECTION("after no answer: not sooner than the backoff, not at once") {
    for (CampaignSchedule& s : schedules) {
      s.OnFailure(kFailedAt, CampaignSchedule::Failure::kNoAnswer);
    }
    CHECK(count_ready(kFailedAt + options.min_backoff - 1ms) == 0);
    CHECK(count_ready(kFailedAt + options.min_backoff + 30ms) <= kEntries / 2);
    CHECK(count_ready(kFailedAt + options.min_backoff * 3 / 2) == kEntries);
  }
  SECTION("after a refusal: later, and spread over a second") {
    for (CampaignSchedule& s : schedules) {
      s.OnFailure(kFailedAt, CampaignSchedule::Failure::kBusy);
    }
    CHECK(count_ready(kFailedAt + options.busy_backoff - 1ms) == 0);
    const auto half = count_ready(kFailedAt + options.busy_backoff * 3 / 2);
    CHECK(half >= kEntries / 4);
    CHECK(half <= kEntries * 3 / 4);
    CHECK(count_ready(kFailedAt + options.busy_backoff * 2) == kEntries);
  }
  SECTION("an election that may be queued: not before the queue has passed") {
    for (CampaignSchedule& s : schedules) {
      s.OnFailure(kFailedAt, CampaignSchedule::Failure::kQueued);
    }
    CHECK(count_ready(kFailedAt + options.queue_time - 1ms) == 0);
    CHECK(count_ready(kFailedAt + options.queue_time + options.min_backoff) ==
          kEntries);
  }
}

}  // namespace
}  // namespace marjoramplank
