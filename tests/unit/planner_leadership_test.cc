#include "src/node/planner_leadership.h"

#include <catch2/catch.hpp>

#include "src/node/clock.h"

namespace marjoramplank {
namespace {

// Answers appends as scripted: those of decisions, and empty ones, which only
// raise the fence, separately.
class ScriptedStore final : public LogStore {
 public:
  struct Script {
    AppendResult::Kind decisions = AppendResult::Kind::kStored;
    AppendResult::Kind fence_raises = AppendResult::Kind::kStored;
    bool is_busy = false;  // Refused because too many calls wait.
    int fence_raise_count = 0;
    Duration last_timeout{0};  // Of decisions.
    ProducerStamp last_stamp;  // Of decisions.
  };
  explicit ScriptedStore(Script& script) : script_(script) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp& stamp,
                      Duration timeout) override {
    script_.fence_raise_count += records.empty() ? 1 : 0;
    script_.last_timeout = records.empty() ? script_.last_timeout : timeout;
    script_.last_stamp = records.empty() ? script_.last_stamp : stamp;
    return {.kind = records.empty() ? script_.fence_raises : script_.decisions,
            .first_offset = 7,
            .is_busy = script_.is_busy};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }

 private:
  Script& script_;
};

TEST_CASE("planner leadership", "[planner_seat]") {
  ScriptedStore::Script script;
  Time last_read_at{0};
  std::vector<LedgerRecord> fallback_records;
  PlannerLeadership leadership(
      {.name = "e",
       .records = {.topic = "t"},
       .step_down_after = 0ms,
       .last_read_at = [&] { return last_read_at; }},
      std::make_unique<ScriptedStore>(script),
      [&](LedgerRecord r) { fallback_records.push_back(std::move(r)); });
  REQUIRE(leadership.Campaign(3) == 8);
  const Time now = BootClockNow();
  const PlannerView own_view{
      .planner_id = leadership.id(), .epoch = 3, .last_heartbeat_at = now};
  const std::vector<LedgerRecord> decisions = {JobCancelled{.job = "j"},
                                               JobCancelled{.job = "k"}};
  REQUIRE(leadership.IsLeader(own_view));

  SECTION("a stored append returns the end of the log") {
    CHECK(leadership.Append(decisions, 3) == 9);
    CHECK(fallback_records.empty());
  }

  SECTION("steps down over the fallback route when appends are refused") {
    script.decisions = AppendResult::Kind::kRefused;
    CHECK(leadership.Append(decisions, 3) == std::nullopt);
    CHECK(fallback_records == std::vector<LedgerRecord>{PlannerResigned{
                                  .entry = leadership.id(), .epoch = 3}});
    CHECK_FALSE(leadership.IsLeader(own_view));

    SECTION("and may campaign again at once if no other entry was elected") {
      CHECK(leadership.MayCampaign(own_view, now + 1ms, false, 1));
    }
    SECTION("and resigns only once") {
      leadership.Append(decisions, 3);
      CHECK(fallback_records.size() == 1);
    }
  }

  SECTION("keeps leadership when only the answer was lost") {
    script.decisions = AppendResult::Kind::kUnknown;
    CHECK(leadership.Append(decisions, 3) == std::nullopt);
    CHECK(fallback_records.empty());
    CHECK(leadership.IsLeader(own_view));
  }

  SECTION("steps down when the store does not answer at all") {
    script.decisions = AppendResult::Kind::kUnknown;
    script.fence_raises = AppendResult::Kind::kUnknown;
    leadership.Append(decisions, 3);
    CHECK(fallback_records.size() == 1);
  }

  SECTION("does not step down at once while reads are answered") {
    // The log service is slow for all: appends time out, reads come late.
    script.decisions = AppendResult::Kind::kUnknown;
    script.fence_raises = AppendResult::Kind::kUnknown;
    last_read_at = kNever;
    leadership.Append(decisions, 3);
    CHECK(fallback_records.empty());
    CHECK(leadership.IsLeader(own_view));

    SECTION("but when they are not answered any more") {
      last_read_at = Time{0};
      leadership.Append(decisions, 3);
      CHECK(fallback_records.size() == 1);
    }
  }

  // Guards against a planner that resigns because the queue of the log service
  // is full, and so starts a campaign of all entries on that queue.
  SECTION("a full queue is no reason to hand over, even if reads come late") {
    script.decisions = AppendResult::Kind::kRefused;
    script.is_busy = true;
    leadership.Append(decisions, 3);
    CHECK(fallback_records.empty());
    CHECK(leadership.IsLeader(own_view));
    CHECK(script.fence_raise_count == 0);
  }

  SECTION("hands over if the queue stays full") {
    script.decisions = AppendResult::Kind::kRefused;
    script.is_busy = true;
    PlannerLeadership impatient(
        {.name = "e",
         .records = {.topic = "t"},
         .step_down_after_if_readable = 0ms},
        std::make_unique<ScriptedStore>(script),
        [&](LedgerRecord r) { fallback_records.push_back(std::move(r)); });
    impatient.Append(decisions, 3);
    CHECK(fallback_records.size() == 1);
  }

  // Guards against entries that campaign again at once on a full queue.
  SECTION("an election that a full queue refused is repeated later") {
    script.decisions = AppendResult::Kind::kRefused;
    script.is_busy = true;
    const PlannerView other_view{
        .planner_id = "f#1", .epoch = 4, .last_heartbeat_at = now - 5s};
    REQUIRE(leadership.MayCampaign(other_view, now, false, 1));
    leadership.Campaign(5);
    CHECK(script.fence_raise_count == 0);
    CHECK_FALSE(leadership.MayCampaign(other_view, now + 900ms, false, 1));
    CHECK(
        leadership.MayCampaign(other_view, BootClockNow() + 2100ms, false, 1));
  }

  SECTION("appends are not answered") {
    constexpr Duration kQueue = 2s;  // Of the log service.
    script.decisions = AppendResult::Kind::kUnknown;
    script.fence_raises = AppendResult::Kind::kUnknown;

    // Guards against a planner whose appends time out while they wait in the
    // log service, and that fences each of them off with one more append.
    SECTION("but reads are: waits longer than the queue, fences off once") {
      last_read_at = kNever;
      leadership.Append(decisions, 3);
      leadership.Append(decisions, 3);
      CHECK(script.last_timeout > kQueue);
      CHECK(script.fence_raise_count == 1);
      CHECK(leadership.IsLeader(own_view));
    }
    SECTION("nor are reads: does not wait for a queue that others may pass") {
      for (int n = 0; n < 4; ++n) {
        leadership.Append(decisions, 3);
        CHECK(script.last_timeout <= 900ms);
      }
      CHECK_FALSE(leadership.IsLeader(own_view));
    }
  }

  // Guards against an entry that was elected while it waits for a repeat of its
  // election, and so does not plan.
  SECTION("an election without an answer is not repeated while it may wait") {
    script.decisions = AppendResult::Kind::kUnknown;
    const PlannerView other_view{
        .planner_id = "f#1", .epoch = 4, .last_heartbeat_at = now - 5s};
    SECTION("in a log service that answers reads") {
      last_read_at = kNever;
      REQUIRE(leadership.MayCampaign(other_view, now, false, 1));
      leadership.Campaign(5);
      CHECK_FALSE(leadership.MayCampaign(other_view, now + 2s, false, 1));
      CHECK(leadership.MayCampaign(other_view, BootClockNow() + 2400ms, false,
                                   1));
    }
    SECTION("but soon if reads are not answered either") {
      REQUIRE(leadership.MayCampaign(other_view, now, false, 1));
      leadership.Campaign(5);
      CHECK(
          leadership.MayCampaign(other_view, BootClockNow() + 500ms, false, 1));
    }
  }

  // Guards against a planner that learns of its election from the ledger, and
  // whose first decisions the log service takes for a repeat of the election:
  // it answers as if they were stored.
  SECTION("decisions after an election without an answer have another stamp") {
    script.decisions = AppendResult::Kind::kUnknown;
    REQUIRE(leadership.Campaign(5) == std::nullopt);
    const ProducerStamp election = script.last_stamp;
    script.decisions = AppendResult::Kind::kStored;
    CHECK(leadership.Append(decisions, 5) == 9);
    const ProducerStamp first = script.last_stamp;
    CHECK(first.epoch > election.epoch);
    CHECK(leadership.Append(decisions, 5) == 9);
    CHECK(script.last_stamp.epoch == first.epoch);
    CHECK(script.last_stamp.sequence == first.sequence + 1);
  }

  SECTION("loses leadership when fenced off") {
    script.decisions = AppendResult::Kind::kFenced;
    leadership.Append(decisions, 3);
    CHECK_FALSE(leadership.IsLeader(own_view));
  }

  SECTION("campaigns against a planner only after the election timeout") {
    const PlannerView other_view{
        .planner_id = "f#1", .epoch = 4, .last_heartbeat_at = now};
    CHECK_FALSE(leadership.MayCampaign(other_view, now + 1200ms, false, 1));
    CHECK(leadership.MayCampaign(other_view, now + 1400ms, false, 1));
  }

  SECTION("campaigns for a vacant leadership later while draining") {
    const PlannerView vacant_view{.epoch = 4, .last_heartbeat_at = now};
    CHECK(leadership.MayCampaign(vacant_view, now + 1ms, false, 1));
    CHECK_FALSE(leadership.MayCampaign(vacant_view, now + 100ms, true, 1));
  }
}

}  // namespace
}  // namespace marjoramplank
