// Records that another writer left in the ledger, or that a client caused: a
// process that reads them keeps running and applies the others.

#include <catch2/catch.hpp>
#include <limits>
#include <memory>
#include <thread>
#include <vector>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/store/ledger_follower.h"

namespace marjoramplank {
namespace {

constexpr std::int32_t kMaxInt32 = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMinInt64 = std::numeric_limits<std::int64_t>::min();

JobRequest MakeJob(const std::string& id) {
  return {.id = id, .steps = {{.tasks = 1}, {.tasks = 2, .after = {0}}}};
}

template <typename Change>
LedgerRecord ChangedJob(Change change) {
  JobSubmitted out{.request = MakeJob("odd")};
  change(out.request);
  return out;
}

template <typename Change>
LedgerRecord ChangedReport(Change change) {
  WorkerReported out{.agent = "odd",
                     .incarnation = {.id = "w", .started_at_unix_ms = 1},
                     .service = "s"};
  change(out);
  return out;
}

std::vector<LedgerRecord> OddRecords() {
  return {
      ChangedJob([](JobRequest& r) { r.steps[0].tasks = -1; }),
      ChangedJob([](JobRequest& r) { r.steps[0].tasks = kMaxInt32; }),
      ChangedJob([](JobRequest& r) { r.steps[1].after = {-1}; }),
      ChangedJob([](JobRequest& r) { r.steps[1].after = {7}; }),
      ChangedJob([](JobRequest& r) { r.recurrence.occurrence_count = -1; }),
      ChangedJob(
          [](JobRequest& r) { r.recurrence.occurrence_count = kMaxInt32; }),
      ChangedJob([](JobRequest& r) {
        r.recurrence = {.occurrence_count = 2, .interval_ms = kMaxInt64};
      }),
      ChangedJob([](JobRequest& r) {
        r.recurrence = {.occurrence_count = 2, .first_due_unix_ms = kMinInt64};
      }),
      ChangedJob([](JobRequest& r) { r.steps[0].need.cpu_milli = kMaxInt64; }),
      ChangedJob([](JobRequest& r) { r.steps[0].need.memory_mb = -1; }),
      ChangedJob(
          [](JobRequest& r) { r.steps[0].estimate = Duration(kMaxInt64); }),
      ChangedJob([](JobRequest& r) { r.terms.target = Duration(kMinInt64); }),
      ChangedJob([](JobRequest& r) {
        r.terms.stretch = std::numeric_limits<double>::quiet_NaN();
      }),
      ChangedReport(
          [](WorkerReported& r) { r.capacity.accelerators = kMaxInt64; }),
      ChangedReport([](WorkerReported& r) { r.capacity.cpu_milli = -1; }),
      ChangedReport([](WorkerReported& r) { r.leaves_in_ms = kMinInt64; }),
      ChangedReport([](WorkerReported& r) {
        r.incarnation.started_at_unix_ms = kMaxInt64;
      }),
      AgentHeartbeat{.agent = "odd",
                     .process = "p",
                     .heard_worker = {.id = "w"},
                     .heard_ago = Duration(kMaxInt64)},
      PlannerElected{.entry = "odd", .epoch = kMaxInt64},
      PlannerElected{.entry = "odd", .epoch = -1},
      TaskEnded{.incarnation = {.id = "w"},
                .end_number = 1'000'000'000'000'000'000,
                .task = {.job = "j"}},
      TaskEnded{.incarnation = {.id = "w"}, .end_number = -1},
  };
}

// Delivers its records once.
class FixedStore final : public LogStore {
 public:
  explicit FixedStore(std::vector<std::string> records)
      : records_(std::move(records)) {}

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
    std::this_thread::sleep_for(1ms);
    ReadResult out{.kind = ReadResult::Kind::kOk,
                   .end_offset = static_cast<std::int64_t>(records_.size())};
    for (auto n = offset; n < out.end_offset; ++n) {
      out.records.push_back(
          {.offset = n, .bytes = records_[static_cast<std::size_t>(n)]});
    }
    return out;
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override {
    return {.ok = true};
  }

 private:
  const std::vector<std::string> records_;
};

// Guards against: every process that reads the ledger ends, again after each
// restart, because one job in it has more tasks than fit in memory.
TEST_CASE("odd ledger records are skipped and the others are applied",
          "[ledger_follower][odd]") {
  std::vector<std::string> bytes = {"", std::string(64, '\xff'),
                                    std::string(3, '\0')};
  for (const LedgerRecord& record : OddRecords()) {
    bytes.push_back(EncodeRecord(record));
    bytes.push_back(EncodeRecord(JobSubmitted{
        .request = MakeJob("good" + std::to_string(bytes.size()))}));
  }
  Metrics metrics;
  LedgerFollower follower(
      {.records = {.topic = "t"}}, std::make_unique<FixedStore>(bytes),
      std::make_unique<FixedStore>(std::vector<std::string>()), metrics);
  follower.Start();
  REQUIRE(
      follower.WaitForPosition(static_cast<std::int64_t>(bytes.size()), 10s));
  follower.Read([&](const Ledger& ledger, const LedgerView&) {
    CHECK(ledger.jobs().size() == OddRecords().size());
    CHECK(ledger.FindJob("odd") == nullptr);
    CHECK(ledger.FindAgent("odd") == nullptr);
    CHECK(ledger.planner().empty());
    CHECK(ledger.planner_epoch() == 0);
  });
}

TEST_CASE("each odd ledger record is unreadable", "[ledger][odd]") {
  std::size_t n = 0;
  for (const LedgerRecord& record : OddRecords()) {
    INFO("record " << n++);
    CHECK_FALSE(DecodeRecord(EncodeRecord(record)).has_value());
  }
}

// Guards against: a job whose number of tasks overflows is accepted, and every
// process that replays the ledger ends.
TEST_CASE("a job whose number of tasks overflows is rejected", "[input][odd]") {
  JobRequest job{.id = "j",
                 .steps = std::vector<JobStep>(64, {.tasks = 1 << 30}),
                 .recurrence = {.occurrence_count = 1 << 28}};
  CHECK_FALSE(CheckJobRequest(job).empty());
}

}  // namespace
}  // namespace marjoramplank
