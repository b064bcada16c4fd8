// A key that was withdrawn stays withdrawn: over restarts, over a history that
// the log service has deleted, and when records are delivered again.

#include "src/node/rules_follower.h"

#include <catch2/catch.hpp>
#include <deque>
#include <mutex>
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

// Waits until the deliveries were read, and for one more read.
void AwaitReads(Topic& topic) {
  for (int n = 0; n < 500; ++n) {
    {
      const std::lock_guard lock(topic.mutex);
      if (topic.reads.empty()) {
        break;
      }
    }
    std::this_thread::sleep_for(2ms);
  }
  std::this_thread::sleep_for(20ms);
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
