// Snapshots that another writer left, or that were damaged.

#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "src/jobs/ledger_snapshot.h"
#include "src/store/snapshot_store.h"

namespace marjoramplank {
namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

JobRequest MakeJob() {
  return {.id = "j", .steps = {{.tasks = 1}, {.tasks = 2, .after = {0}}}};
}

Ledger LedgerWith(const LedgerRecord& record) {
  Ledger ledger;
  ledger.Apply(1s, JobSubmitted{.request = MakeJob()});
  ledger.Apply(1s, record);
  return ledger;
}

bool IsLoaded(const Ledger& ledger, std::int64_t position = 5) {
  return LedgerSnapshot::Load(2s, LedgerSnapshot::Save(ledger, position))
      .has_value();
}

JobSubmitted OddJob(JobRequest request) {
  request.id = "odd";
  return {.request = std::move(request)};
}

// A keyed topic with fixed records.
class KeyedStore final : public LogStore {
 public:
  std::map<std::string, std::string> values;

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp&,
                      Duration) override {
    for (const std::string& r : records) {
      std::string key;
      std::string value;
      if (DecodeKeyed(r, key, value)) {
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
};

// Guards against: a process that loads a snapshot with numbers out of range
// reads beyond its lists, or never reads the log again.
TEST_CASE("a snapshot with odd numbers is malformed", "[ledger][odd]") {
  CHECK(IsLoaded(LedgerWith(JobCancelled{.job = "j"})));
  CHECK(IsLoaded(LedgerWith(PlannerElected{.entry = "e", .epoch = 7})));
  CHECK(IsLoaded(LedgerWith(WorkerReported{.agent = "a", .service = "s"})));

  SECTION("positions") {
    CHECK_FALSE(IsLoaded(LedgerWith(JobCancelled{.job = "x"}), -1));
    CHECK_FALSE(IsLoaded(LedgerWith(JobCancelled{.job = "x"}), kMaxInt64));
  }
  SECTION("epochs") {
    CHECK_FALSE(
        IsLoaded(LedgerWith(PlannerElected{.entry = "e", .epoch = kMaxInt64})));
  }
}

TEST_CASE("an odd job or worker of a snapshot hides no others",
          "[ledger][odd]") {
  const auto loaded = [](const LedgerRecord& record) {
    const auto out = LedgerSnapshot::Load(
        2s, LedgerSnapshot::Save(LedgerWith(record), /*position=*/5));
    REQUIRE(out.has_value());
    CHECK(out->ledger.FindJob("j") != nullptr);
    return out->ledger;
  };
  SECTION("jobs") {
    JobRequest request = MakeJob();
    SECTION("a dependency on no step") {
      request.steps[1].after = {7};
    }
    SECTION("an amount out of range") {
      request.steps[0].need.cpu_milli = kMaxInt64;
    }
    SECTION("a step without tasks") {
      request.steps[0].tasks = 0;
    }
    const Ledger ledger = loaded(OddJob(request));
    CHECK(ledger.FindJob("odd") == nullptr);
    CHECK(ledger.open_jobs().size() == 1);
  }
  SECTION("workers") {
    const WorkerIncarnation incarnation{.id = "w", .started_at_unix_ms = 1};
    WorkerReported report{
        .agent = "a", .incarnation = incarnation, .service = "s"};
    SECTION("capacity") {
      report.capacity.cpu_milli = kMaxInt64;
    }
    SECTION("time left") {
      report.leaves_in_ms = -kMaxInt64;
    }
    const Ledger ledger = loaded(report);
    REQUIRE(ledger.FindWorker(incarnation) != nullptr);
    CHECK_FALSE(ledger.FindWorker(incarnation)->report.accepting);
  }
}

TEST_CASE("odd records among the parts of a snapshot", "[ledger][odd]") {
  KeyedStore store;
  const LogPartition topic{.topic = "keyed.t"};
  const std::string bytes = LedgerSnapshot::Save(
      LedgerWith(JobCancelled{.job = "x"}), /*position=*/5);
  SnapshotParts parts;
  REQUIRE(WriteSnapshot(store, topic, bytes, 5, parts));
  const auto position = [&] {
    const SnapshotLookup found = ReadSnapshot(store, topic, 2s, parts);
    return found.snapshot ? found.snapshot->position : -1;
  };
  CHECK(position() == 5);

  SECTION("records that are no part") {
    store.values["odd"] = std::string(1'000, '\xff');
    store.values[""] = "x";
    store.values["a.99999999999999999999"] = "x";
    CHECK(position() == 5);
  }
  SECTION("a manifest that is odd hides no other") {
    const char other = store.values.contains("a") ? 'b' : 'a';
    for (const char* manifest :
         {"", "x", "9 1", "99999999999999999999 1 1", "9 99999999999 1",
          "9 -1 1", "-9 1 1", "9 1 99999999999999999999", "9 0 0"}) {
      INFO(manifest);
      store.values[std::string(1, other)] = manifest;
      store.values[std::string(1, other) + ".0"] = "x";
      CHECK(position() == 5);
    }
  }
}

}  // namespace
}  // namespace marjoramplank
