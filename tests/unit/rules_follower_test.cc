// A key that was withdrawn stays withdrawn: over restarts, over a history that
// the log service has deleted, and when records are delivered again.

#include "src/node/rules_follower.h"

#include <catch2/catch.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>

#include "src/node/clock.h"

namespace marjoramplank {
namespace {

// Keys by version: version 1 has the key, version 2 has withdrawn it.
Rules RulesOfVersion(std::int64_t version) {
  Rules rules;
  rules.version = version;
  rules.accounts = {{.name = "a", .keys = {"kept"}}};
  if (version < 2) {
    rules.accounts[0].keys.insert("withdrawn");
  }
  return rules;
}

std::optional<RuleChange> Decode(const KeyedRecord& record) {
  return record.value.empty() ? std::nullopt
                              : std::optional<RuleChange>(
                                    RulesOfVersion(std::stoll(record.value)));
}

// A keyed topic whose answers the test sets.
struct Topic {
  std::mutex mutex;
  std::vector<KeyedRecord> newest;
  std::int64_t end_offset = 0;
  std::deque<ReadResult> reads;
  int read_calls = 0;
};

class TopicStore final : public LogStore {
 public:
  explicit TopicStore(Topic& topic) : topic_(topic) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    return {};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t offset,
                  Duration,
                  Duration) override {
    std::this_thread::sleep_for(2ms);
    const std::lock_guard lock(topic_.mutex);
    ++topic_.read_calls;
    if (topic_.reads.empty()) {
      return {.kind = ReadResult::Kind::kOk, .end_offset = offset};
    }
    ReadResult result = topic_.reads.front();
    topic_.reads.pop_front();
    return result;
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override {
    const std::lock_guard lock(topic_.mutex);
    return {
        .ok = true, .end_offset = topic_.end_offset, .records = topic_.newest};
  }

 private:
  Topic& topic_;
};

ReadResult Delivery(std::int64_t offset, std::int64_t version) {
  return {
      .kind = ReadResult::Kind::kOk,
      .end_offset = offset + 1,
      .records = {{.offset = offset,
                   .bytes = EncodeKeyed("config", std::to_string(version))}}};
}

// Waits until the deliveries were read and applied: the follower reads again
// only after it has published what it has read.
void AwaitReads(Topic& topic) {
  constexpr int kCallsAfterwards = 2;  // One may have begun before.
  std::optional<int> calls_then;
  for (const Time end = BootClockNow() + 10s; BootClockNow() < end;) {
    {
      const std::lock_guard lock(topic.mutex);
      if (!calls_then && topic.reads.empty()) {
        calls_then = topic.read_calls;
      }
      if (calls_then && topic.read_calls >= *calls_then + kCallsAfterwards) {
        return;
      }
    }
    std::this_thread::sleep_for(1ms);
  }
  FAIL("the follower does not read");
}

bool Knows(const RulesFollower& follower, const std::string& key) {
  return follower.view()->rules.FindAccountByKey(key) != nullptr;
}

TEST_CASE("rules follower: a withdrawn key", "[rules]") {
  Topic topic;
  topic.newest = {{.key = "config", .value = "1", .offset = 0}};
  topic.end_offset = 1;
  const auto open = [&] {
    return std::make_unique<RulesFollower>(
        RulesFollower::Options{}, std::make_unique<TopicStore>(topic), Decode);
  };

  SECTION("is refused once the new version is read") {
    const auto follower = open();
    AwaitReads(topic);
    REQUIRE(Knows(*follower, "withdrawn"));
    {
      const std::lock_guard lock(topic.mutex);
      topic.reads.push_back(Delivery(1, 2));
    }
    AwaitReads(topic);
    CHECK_FALSE(Knows(*follower, "withdrawn"));
    CHECK(Knows(*follower, "kept"));

    SECTION("and when an old record is delivered again, at a later offset") {
      {
        const std::lock_guard lock(topic.mutex);
        topic.reads.push_back(Delivery(2, 1));
      }
      AwaitReads(topic);
      CHECK_FALSE(Knows(*follower, "withdrawn"));
    }
    SECTION("and after a gap in the history, from which old state is read") {
      {
        const std::lock_guard lock(topic.mutex);
        topic.reads.push_back({.kind = ReadResult::Kind::kTruncated});
      }
      AwaitReads(topic);
      CHECK_FALSE(Knows(*follower, "withdrawn"));
    }
    SECTION("and when an unreadable record follows") {
      {
        const std::lock_guard lock(topic.mutex);
        ReadResult odd = Delivery(2, 1);
        odd.records[0].bytes = "\xff\xff";
        topic.reads.push_back(odd);
      }
      AwaitReads(topic);
      CHECK_FALSE(Knows(*follower, "withdrawn"));
      CHECK(Knows(*follower, "kept"));
    }
  }
  SECTION("is refused by a process that starts afterwards") {
    topic.newest = {{.key = "config", .value = "2", .offset = 1}};
    topic.end_offset = 2;
    const auto follower = open();
    AwaitReads(topic);
    REQUIRE(follower->view()->loaded);
    CHECK_FALSE(Knows(*follower, "withdrawn"));
  }
  SECTION(
      "nothing is known, and so nothing is allowed, before the first read") {
    const RulesView empty;
    CHECK_FALSE(empty.loaded);
  }
}

}  // namespace
}  // namespace marjoramplank
