#include "src/store/ledger_writer.h"

#include <catch2/catch.hpp>

#include <limits>
#include <mutex>

#include "src/node/clock.h"

namespace marjoramplank {
namespace {

constexpr std::size_t kAlways = std::numeric_limits<std::size_t>::max();

// Leaves the first appends unanswered at once and keeps their limits.
class SilentAtFirst final : public LogStore {
 public:
  struct Seen {
    std::mutex mutex;
    std::vector<Duration> limits;
  };
  SilentAtFirst(Seen& seen, std::size_t silent)
      : seen_(seen), silent_(silent) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration timeout) override {
    const std::lock_guard lock(seen_.mutex);
    seen_.limits.push_back(timeout);
    return {.kind = seen_.limits.size() > silent_
                        ? AppendResult::Kind::kStored
                        : AppendResult::Kind::kUnknown};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  NewestResult Newest(const LogPartition&, Duration) override { return {}; }

 private:
  Seen& seen_;
  const std::size_t silent_;
};

TEST_CASE("ledger writer", "[ledger_writer]") {
  Metrics metrics;
  SilentAtFirst::Seen seen;

  SECTION("a way that falls silent is given up soon, a slow log is not") {
    LedgerWriter writer({.partition = {.topic = "t"}},
                        std::make_unique<SilentAtFirst>(seen, 1), metrics);
    CHECK(writer.AppendAndWait(JobCancelled{.job = "j"}, kNever) ==
          LedgerWriter::Outcome::kStored);
    const std::lock_guard lock(seen.mutex);
    REQUIRE(seen.limits.size() == 2);
    CHECK(seen.limits[0] <= 400ms);  // An urgent caller's slack is 250 ms more.
    CHECK(seen.limits[1] >= 900ms);
  }

  SECTION("an append that had no answer is never said to be refused") {
    LedgerWriter writer({.partition = {.topic = "t"}},
                        std::make_unique<SilentAtFirst>(seen, kAlways),
                        metrics);
    CHECK(writer.AppendAndWait(JobCancelled{.job = "j"}, BootTime() + 100ms) ==
          LedgerWriter::Outcome::kUnknown);
  }

  SECTION("what came too late is not sent at all") {
    LedgerWriter writer({.partition = {.topic = "t"}},
                        std::make_unique<SilentAtFirst>(seen, 0), metrics);
    CHECK(writer.AppendAndWait(JobCancelled{.job = "j"}, BootTime() - 1ms) ==
          LedgerWriter::Outcome::kNotStored);
    const std::lock_guard lock(seen.mutex);
    CHECK(seen.limits.empty());
  }
}

}  // namespace
}  // namespace marjoramplank
