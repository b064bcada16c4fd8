#include "src/store/ledger_writer.h"

#include <catch2/catch.hpp>

#include <limits>
#include <mutex>

#include "src/node/clock.h"

namespace marjoramplank {
namespace {

constexpr std::size_t kAlways = std::numeric_limits<std::size_t>::max();

// Returns kUnknown for the first appends, without a delay, and records the
// timeout of each.
class UnresponsiveStore final : public LogStore {
 public:
  struct AppendLog {
    std::mutex mutex;
    std::vector<Duration> timeouts;
  };
  UnresponsiveStore(AppendLog& append_log, std::size_t unanswered_count)
      : append_log_(append_log), unanswered_count_(unanswered_count) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration timeout) override {
    const std::lock_guard lock(append_log_.mutex);
    append_log_.timeouts.push_back(timeout);
    return {.kind = append_log_.timeouts.size() > unanswered_count_
                        ? AppendResult::Kind::kStored
                        : AppendResult::Kind::kUnknown};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }

 private:
  AppendLog& append_log_;
  const std::size_t unanswered_count_;
};

TEST_CASE("ledger writer", "[ledger_writer]") {
  Metrics metrics;
  UnresponsiveStore::AppendLog append_log;

  SECTION(
      "an unresponsive route times out early, a slow log service does not") {
    LedgerWriter writer({.partition = {.topic = "t"}},
                        std::make_unique<UnresponsiveStore>(append_log, 1),
                        metrics);
    CHECK(writer.AppendAndWait(JobCancelled{.job = "j"}, kNever) ==
          LedgerWriter::Outcome::kStored);
    const std::lock_guard lock(append_log.mutex);
    REQUIRE(append_log.timeouts.size() == 2);
    // The slack of an urgent caller is 250 ms longer than this.
    CHECK(append_log.timeouts[0] <= 400ms);
    CHECK(append_log.timeouts[1] >= 900ms);
  }

  SECTION("an append without an answer is never reported as not stored") {
    LedgerWriter writer(
        {.partition = {.topic = "t"}},
        std::make_unique<UnresponsiveStore>(append_log, kAlways), metrics);
    CHECK(writer.AppendAndWait(JobCancelled{.job = "j"},
                               BootClockNow() + 100ms) ==
          LedgerWriter::Outcome::kUnknown);
  }

  SECTION("a record past its deadline is not sent") {
    LedgerWriter writer({.partition = {.topic = "t"}},
                        std::make_unique<UnresponsiveStore>(append_log, 0),
                        metrics);
    CHECK(
        writer.AppendAndWait(JobCancelled{.job = "j"}, BootClockNow() - 1ms) ==
        LedgerWriter::Outcome::kNotStored);
    const std::lock_guard lock(append_log.mutex);
    CHECK(append_log.timeouts.empty());
  }
}

}  // namespace
}  // namespace marjoramplank
