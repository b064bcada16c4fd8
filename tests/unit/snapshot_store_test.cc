// Snapshots in a keyed topic of the log service.

#include "src/store/snapshot_store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace marjoramplank {
namespace {

constexpr std::size_t kLargeBytes = 5'000'000;
const LogPartition kTopic{.topic = "keyed.t"};

// A keyed topic, as the log service keeps it.
class KeyedStore final : public LogStore {
 public:
  std::map<std::string, std::string> values;
  std::size_t max_record_bytes = 256 * 1024;

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp&,
                      Duration) override {
    for (const std::string& r : records) {
      if (r.size() > max_record_bytes) {
        return {.kind = AppendResult::Kind::kRefused, .is_too_large = true};
      }
      std::string key;
      std::string value;
      if (!DecodeKeyed(r, key, value)) {
        continue;
      }
      if (value.empty()) {
        values.erase(key);
      } else {
        values[key] = value;
      }
    }
    return {.kind = AppendResult::Kind::kStored};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override {
    LatestResult out{.ok = true};
    for (const auto& [key, value] : values) {
      out.records.push_back({.key = key, .value = value});
    }
    return out;
  }

  std::size_t bytes() const {
    std::size_t out = 0;
    for (const auto& [key, value] : values) {
      out += value.size();
    }
    return out;
  }
};

// Guards against readers that load the parts of all earlier snapshots: those of
// a burst of tasks would be read for good.
TEST_CASE("snapshot store: a smaller snapshot deletes the parts of a larger",
          "[snapshot]") {
  KeyedStore store;
  SnapshotParts parts;
  Ledger ledger;
  const std::string small = LedgerSnapshot::Save(ledger, 9);
  const auto write_small = [&](SnapshotParts& known) {
    for (int slots = 0; slots < 2; ++slots) {
      REQUIRE(WriteSnapshot(store, kTopic, small, 9, known));
    }
  };
  for (int slots = 0; slots < 2; ++slots) {
    REQUIRE(
        WriteSnapshot(store, kTopic, std::string(kLargeBytes, 'x'), 8, parts));
  }
  REQUIRE(store.bytes() > 2 * kLargeBytes);

  SECTION("of the same process") {
    write_small(parts);
    CHECK(store.bytes() < kLargeBytes / 1000);
  }
  SECTION("of another process that it has read") {
    SnapshotParts read;
    ReadSnapshot(store, kTopic, 1s, read);
    write_small(read);
    CHECK(store.bytes() < kLargeBytes / 1000);
  }
  SECTION("and can be read") {
    write_small(parts);
    const SnapshotLookup found = ReadSnapshot(store, kTopic, 1s, parts);
    REQUIRE(found.snapshot.has_value());
    CHECK(found.snapshot->position == 9);
  }
}

TEST_CASE("snapshot store: many parts are deleted by several writes",
          "[snapshot]") {
  KeyedStore store;
  SnapshotParts parts;
  const std::string small = LedgerSnapshot::Save(Ledger(), 9);
  constexpr int kWrites = 8;
  std::string large;
  large.resize(100'000'000, 'x');
  for (int slots = 0; slots < 2; ++slots) {
    REQUIRE(WriteSnapshot(store, kTopic, large, 8, parts));
  }
  for (int n = 0; n < kWrites; ++n) {
    REQUIRE(WriteSnapshot(store, kTopic, small, 9, parts));
  }
  CHECK(store.bytes() < 2 * small.size() + 1'000);
}

// Guards against a log service that takes smaller records than others, and so
// no snapshot at all.
TEST_CASE("snapshot store: the parts fit into the log", "[snapshot]") {
  KeyedStore store;
  store.max_record_bytes = 16 * 1024;
  SnapshotParts parts;
  Ledger ledger;
  for (int n = 0; n < 5'000; ++n) {
    ledger.Apply(1s, JobCancelled{.job = "job-" + std::to_string(n)});
  }
  REQUIRE(
      WriteSnapshot(store, kTopic, LedgerSnapshot::Save(ledger, 9), 9, parts));
  CHECK(ReadSnapshot(store, kTopic, 1s, parts).snapshot.has_value());
}

}  // namespace
}  // namespace marjoramplank
