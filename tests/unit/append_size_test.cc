#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/planner_leadership.h"
#include "src/store/ledger_writer.h"

namespace marjoramplank {
namespace {

// Of the log service; the test may lower them.
struct SizeLimits {
  std::size_t record_bytes = 262'144;
  std::size_t call_bytes = 2'097'152;
};

// Refuses appends above its limits and keeps the others.
class LimitedStore final : public LogStore {
 public:
  struct Log {
    SizeLimits limits;
    std::mutex mutex;
    std::vector<std::string> stored;
    std::vector<std::vector<std::string>> refused;
    std::size_t largest_call_bytes = 0;
  };
  explicit LimitedStore(Log& log) : log_(log) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp&,
                      Duration) override {
    const std::lock_guard lock(log_.mutex);
    constexpr std::size_t kRecordHeaderBytes = 4;
    std::size_t bytes = 0;
    bool fits = true;
    for (const std::string& r : records) {
      bytes += r.size() + kRecordHeaderBytes;
      fits = fits && r.size() <= log_.limits.record_bytes;
    }
    if (!fits || bytes > log_.limits.call_bytes) {
      log_.refused.push_back(records);
      return {.kind = AppendResult::Kind::kRefused, .is_too_large = true};
    }
    log_.largest_call_bytes = std::max(log_.largest_call_bytes, bytes);
    const auto first_offset = static_cast<std::int64_t>(log_.stored.size());
    log_.stored.insert(log_.stored.end(), records.begin(), records.end());
    return {.kind = AppendResult::Kind::kStored, .first_offset = first_offset};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }

 private:
  Log& log_;
};

RunStarted Start(std::int32_t index, std::int32_t members) {
  RunStarted out{.epoch = 3,
                 .first = {.job = "bc0e7a21d94b36e0", .index = index}};
  for (std::int32_t n = 0; n < members; ++n) {
    out.members.push_back(
        {.index = index + n,
         .incarnation = {.id = "i-7f3a91c2",
                         .started_at_unix_ms = 1'764'900'000'000 + n}});
  }
  return out;
}

std::vector<LedgerRecord> PlanOf(std::int32_t starts) {
  std::vector<LedgerRecord> out;
  out.reserve(static_cast<std::size_t>(starts));
  for (std::int32_t n = 0; n < starts; ++n) {
    out.emplace_back(Start(n, 1));
  }
  return out;
}

std::vector<std::string> Encoded(const std::vector<LedgerRecord>& records) {
  std::vector<std::string> out;
  out.reserve(records.size());
  for (const LedgerRecord& r : records) {
    out.push_back(EncodeRecord(r));
  }
  return out;
}

// True if no refused append was sent again.
bool RefusedOnlyOnce(const LimitedStore::Log& log) {
  for (auto it = log.refused.begin(); it != log.refused.end(); ++it) {
    if (std::find(log.refused.begin(), it, *it) != it) {
      return false;
    }
  }
  return true;
}

// Guards against a plan that the log service refuses for its size: every
// planner made it again, and nothing started any more.
TEST_CASE("a plan of any size is stored", "[append_size]") {
  LimitedStore::Log log;
  std::vector<LedgerRecord> fallback_records;
  PlannerLeadership leadership(
      {.name = "e", .records = {.topic = "t"}, .step_down_after = 0ms},
      std::make_unique<LimitedStore>(log),
      [&](LedgerRecord r) { fallback_records.push_back(std::move(r)); });
  REQUIRE(leadership.Campaign(3) == 1);
  log.stored.clear();

  SECTION("one that is larger than a call") {
    const std::vector<LedgerRecord> plan = PlanOf(40'000);
    CHECK(leadership.Append(plan, 3) == 40'000);
    CHECK((log.stored == Encoded(plan)));
    CHECK(log.refused.empty());
    CHECK(fallback_records.empty());
  }
  SECTION("a decision that is larger than a record does not stop the others") {
    std::vector<LedgerRecord> plan = PlanOf(3);
    const std::vector<std::string> others = Encoded(plan);
    plan.insert(plan.begin() + 1, Start(0, 20'000));
    REQUIRE(EncodeRecord(plan[1]).size() > log.limits.record_bytes);
    CHECK(leadership.Append(plan, 3) == 3);
    CHECK((log.stored == others));
    CHECK(log.refused.empty());
    CHECK(fallback_records.empty());
  }
  SECTION("nor does it keep its capacity: it is excluded from later plans") {
    leadership.Append({Start(0, 20'000), Start(7, 1)}, 3);
    CHECK(leadership.oversized_starts() ==
          std::set<TaskRef>{{.job = "bc0e7a21d94b36e0"}});
  }
  SECTION("one that is too large with its checkpoint is stored without") {
    log.limits.record_bytes = 20'000;
    RunStarted start = Start(0, 1);
    start.checkpoint = std::string(kMaxCheckpointBytes, 'c');
    leadership.Append({start}, 3);
    leadership.Append({start}, 3);
    CHECK((log.stored == Encoded({Start(0, 1)})));
  }
  SECTION("on a log service that takes less, and that refuses nothing twice") {
    log.limits = {.record_bytes = 20'000, .call_bytes = 100'000};
    std::vector<LedgerRecord> plan = PlanOf(10'000);
    const std::vector<std::string> others = Encoded(plan);
    plan.push_back(Start(0, 1'000));
    REQUIRE(EncodeRecord(plan.back()).size() > log.limits.record_bytes);
    CHECK(leadership.Append(plan, 3) == 10'000);
    CHECK(leadership.Append({plan.back()}, 3) == std::nullopt);
    CHECK((log.stored == others));
    CHECK(RefusedOnlyOnce(log));
    CHECK(fallback_records.empty());
  }
}

// Guards against a planner that sends no heartbeat while it appends a plan to a
// slow log service.
TEST_CASE("a plan that takes long is left to the next plan", "[append_size]") {
  LimitedStore::Log log;
  PlannerLeadership leadership(
      {.name = "e", .records = {.topic = "t"}, .max_append_time = 0ms},
      std::make_unique<LimitedStore>(log), [](const LedgerRecord&) {});
  REQUIRE(leadership.Campaign(3) == 1);
  log.stored.clear();
  const std::vector<LedgerRecord> plan = PlanOf(40'000);
  std::size_t stored = 0;
  while (stored < plan.size()) {
    const std::vector<LedgerRecord> rest(
        plan.begin() + static_cast<std::ptrdiff_t>(stored), plan.end());
    const std::optional<std::int64_t> end = leadership.Append(rest, 3);
    REQUIRE(end);
    REQUIRE(static_cast<std::size_t>(*end) > stored);
    REQUIRE((stored > 0 || static_cast<std::size_t>(*end) < plan.size()));
    stored = static_cast<std::size_t>(*end);
  }
  CHECK((log.stored == Encoded(plan)));
}

// Guards against a record that the log service refuses for its size and that
// the writer sends for ever, with all others behind it.
TEST_CASE("a record that is too large does not stop the writer",
          "[append_size]") {
  LimitedStore::Log log;
  Metrics metrics;
  std::optional<LedgerWriter::Outcome> outcome;
  LedgerWriter writer({.partition = {.topic = "t"}},
                      std::make_unique<LimitedStore>(log), metrics);
  const auto append = [&](std::size_t bytes) {
    writer.Append(
        {.record = JobCancelled{.job = std::string(bytes, 'j')},
         .on_done = [&](LedgerWriter::Outcome o, Time) { outcome = o; }});
  };
  const auto append_small = [&] {
    return writer.AppendAndWait(JobCancelled{.job = "small"},
                                BootClockNow() + 1s);
  };

  SECTION("for any log service") {
    append(300'000);
    CHECK(append_small() == LedgerWriter::Outcome::kStored);
    CHECK(outcome == LedgerWriter::Outcome::kNotStored);
    CHECK(log.refused.empty());
  }
  SECTION("for this log service") {
    log.limits.record_bytes = 100'000;
    append(200'000);
    CHECK(append_small() == LedgerWriter::Outcome::kStored);
    CHECK(outcome == LedgerWriter::Outcome::kNotStored);
    CHECK(RefusedOnlyOnce(log));
  }
  SECTION("an end that is too large with its checkpoint is stored without") {
    log.limits.record_bytes = 20'000;
    TaskEnded end{.incarnation = {.id = "w"}, .end_number = 1};
    end.checkpoint = std::string(kMaxCheckpointBytes, 'c');
    CHECK(writer.AppendAndWait(end, BootClockNow() + 1s) ==
          LedgerWriter::Outcome::kStored);
    end.checkpoint.clear();
    CHECK((log.stored == Encoded({end})));
  }
  SECTION("nor does a batch that is too large") {
    log.limits.call_bytes = 50'000;
    for (int n = 0; n < 20; ++n) {
      append(20'000);
    }
    writer.Drain(5s);
    CHECK(append_small() == LedgerWriter::Outcome::kStored);
    CHECK(outcome == LedgerWriter::Outcome::kStored);
    CHECK(log.stored.size() == 21);
    CHECK(RefusedOnlyOnce(log));
  }
}

// Guards against an accepted job of which a record can never be stored.
TEST_CASE("a valid job fits into its records", "[append_size]") {
  constexpr std::size_t kMaxRecordBytes =
      AppendLimits::Options{}.max_record_bytes;
  JobRequest job{.id = "bc0e7a21d94b36e0",
                 .account = "kaje80",
                 .payload = std::string(kMaxJobPayloadBytes, 'p'),
                 .terms = {.queue = "q", .service = "s"}};

  SECTION("or it is refused: names") {
    for (std::size_t n = 0; n < 400'000; n += 40'000) {
      job.steps = {{.image = std::string(n, 'x')}};
      const bool fits =
          EncodeRecord(JobSubmitted{.request = job}).size() <= kMaxRecordBytes;
      CHECK((fits || !CheckJobRequest(job).empty()));
    }
    job.steps.assign(kMaxSteps, {.required_label = std::string(40, 'x'),
                                 .data_rack = std::string(40, 'x'),
                                 .image = std::string(40, 'x')});
    CHECK(CheckJobRequest(job).empty());
    CHECK(EncodeRecord(JobSubmitted{.request = job}).size() <= kMaxRecordBytes);
  }
  SECTION("or it is refused: dependencies") {
    for (std::size_t n = 0; n < 400'000; n += 40'000) {
      job.steps.assign(kMaxSteps, {});
      for (std::size_t i = 0; i < n; ++i) {
        job.steps.back().after.push_back(
            static_cast<std::int32_t>(i % (kMaxSteps - 1)));
      }
      const bool fits =
          EncodeRecord(JobSubmitted{.request = job}).size() <= kMaxRecordBytes;
      CHECK((fits || !CheckJobRequest(job).empty()));
    }
    job.steps.back().after.resize(kMaxSteps - 1);
    CHECK(CheckJobRequest(job).empty());
  }
  SECTION("or it is refused: gangs") {
    constexpr std::size_t kLongestIdBytes = 40;  // Of a worker.
    for (std::int32_t n = 1'000; n <= kMaxTasksOfJob; n += 1'000) {
      job.steps = {{.tasks = n, .gang = true}};
      RunStarted start = Start(0, n);
      for (MemberPlace& m : start.members) {
        m.incarnation.id = std::string(kLongestIdBytes, 'i');
      }
      const bool fits = EncodeRecord(start).size() <= kMaxRecordBytes;
      CHECK((fits || !CheckJobRequest(job).empty()));
      CHECK((n > 2'000 || CheckJobRequest(job).empty()));
    }
  }
}

}  // namespace
}  // namespace marjoramplank
