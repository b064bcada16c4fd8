#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/node/agent_node.h"
#include "src/store/ledger_follower.h"
#include "src/store/retry_backoff.h"

namespace marjoramplank {
namespace {

// The deployment: 240 agents and 55 entries. Entries also read the
// configuration, on a connection of its own.
constexpr int kAgents = 240;
constexpr int kEntries = 55;
constexpr int kReaders = kAgents + 2 * kEntries;
// Both slots in base64, of 533,404 and 346,605 bytes.
constexpr double kSnapshotMegabytes = 1.17;
constexpr double kConfigurationMegabytes = 0.02;
// Pages hold 1 MB of values, which are base64. They are read one after the
// other, and all again if one fails.
constexpr double kPageMegabytes = 1.34;
constexpr double kMegabytesPerSecond = 80;  // Of all reads together.
// Everything is served again this long after a power loss of all machines.
constexpr Time kRecoveryBound = 15s;

// The log service under the reads of a restart, in virtual time: one queue
// with a fixed throughput, which refuses a call that would wait for longer than
// its limit. A caller that has given up is answered all the same.
class OverloadedService {
 public:
  // Returns when the answer has been sent. Nothing: the call is refused.
  std::optional<Time> Read(Time now, double megabytes) {
    busy_until_us_ = std::max(busy_until_us_, Microseconds(now));
    if (busy_until_us_ - Microseconds(now) > Microseconds(kLongestQueue)) {
      return std::nullopt;
    }
    busy_until_us_ += megabytes / kMegabytesPerSecond * 1e6;
    return Time(static_cast<std::int64_t>(busy_until_us_ / 1000) + 1);
  }

 private:
  static double Microseconds(Duration d) {
    return static_cast<double>(d.count()) * 1000;
  }
  // Of reads: they were answered after up to 4 s.
  static constexpr Duration kLongestQueue = 4s;
  double busy_until_us_ = 0;
};

struct Policy {
  Duration timeout = kBulkReadTimeout;  // Of one page.
  // Nothing: a fixed delay without backoff or jitter.
  std::optional<RetryBackoff::Options> agent_retry = kAgentRestoreRetry;
  std::optional<RetryBackoff::Options> entry_retry =
      LedgerFollower::Options().restore_retry;
};

constexpr Duration kFixedDelay = 60ms;

// One reading connection of a process.
struct Reader {
  double megabytes = 0;
  std::optional<RetryBackoff> retry;
  double megabytes_left = 0;
};

std::vector<Reader> MakeReaders(double size,
                                const Policy& policy,
                                std::uint_fast32_t seed) {
  std::vector<Reader> out;
  for (int n = 0; n < kReaders; ++n) {
    const auto& retry = n < kAgents ? policy.agent_retry : policy.entry_retry;
    const double megabytes = n < kAgents + kEntries ? kSnapshotMegabytes * size
                                                    : kConfigurationMegabytes;
    Reader reader{.megabytes = megabytes, .megabytes_left = megabytes};
    if (retry) {
      reader.retry.emplace(*retry,
                           seed * 1000 + static_cast<std::uint_fast32_t>(n));
    }
    out.push_back(reader);
  }
  return out;
}

// Returns when the last reader has all its pages: within a minute, or kNever.
// `size`: of the snapshot, in multiples of the deployment's.
Time TimeUntilAllRestored(double size,
                          const Policy& policy,
                          std::uint_fast32_t seed) {
  constexpr Duration kRefusalTime = 4ms;
  OverloadedService service;
  std::vector<Reader> readers = MakeReaders(size, policy, seed);
  std::multimap<Time, std::size_t> calls;  // Of pages, by their time.
  for (std::size_t n = 0; n < readers.size(); ++n) {
    // All start within 0.3 s, agents and entries mixed: 131 and the number of
    // readers have no common divisor.
    calls.emplace(Duration(n * 131 % readers.size() * 300 / readers.size()), n);
  }
  Time last{0};
  while (!calls.empty()) {
    const auto [now, n] = *calls.begin();
    calls.erase(calls.begin());
    if (now > 60s) {
      return kNever;
    }
    Reader& reader = readers[n];
    const double page = std::min(reader.megabytes_left, kPageMegabytes);
    const std::optional<Time> answered_at = service.Read(now, page);
    if (answered_at && *answered_at - now <= policy.timeout) {
      reader.megabytes_left -= page;
      last = std::max(last, *answered_at);
      if (reader.megabytes_left > 0) {
        calls.emplace(*answered_at, n);
      }
      continue;
    }
    reader.megabytes_left = reader.megabytes;
    const Time failed_at = now + (answered_at ? policy.timeout : kRefusalTime);
    calls.emplace(
        failed_at + (reader.retry ? reader.retry->OnFailure() : kFixedDelay),
        n);
  }
  return last;
}

// Guards against a restart of everything after which no process gets its
// snapshot any more: answers that come after the timeout keep the log service
// busy, and every caller asks for them again.
TEST_CASE("hundreds of processes restart at the same moment", "[restore]") {
  constexpr double kToday = 1;
  constexpr double kTwice = 2;
  constexpr Duration kTimeoutBelowTheQueue = 2s;
  const Policy product;
  const auto seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);

  SECTION("all are back within half of the bound, with a snapshot of today") {
    CHECK(TimeUntilAllRestored(kToday, product, seed) < kRecoveryBound / 2);
  }
  SECTION("and within the bound with one of twice the size") {
    CHECK(TimeUntilAllRestored(kTwice, product, seed) < kRecoveryBound);
  }
  SECTION("not with a timeout below the service's queue, in spite of backoff") {
    Policy policy = product;
    policy.timeout = kTimeoutBelowTheQueue;
    CHECK(TimeUntilAllRestored(kToday, policy, seed) > kRecoveryBound);
    CHECK(TimeUntilAllRestored(kTwice, policy, seed) > kRecoveryBound);
  }
  SECTION("not without backoff, once a snapshot has several pages") {
    Policy policy = product;
    policy.agent_retry.reset();
    policy.entry_retry.reset();
    CHECK(TimeUntilAllRestored(kTwice, policy, seed) > kRecoveryBound);
  }
  SECTION("never with neither") {
    const Policy before{.timeout = kTimeoutBelowTheQueue,
                        .agent_retry = std::nullopt,
                        .entry_retry = std::nullopt};
    CHECK(TimeUntilAllRestored(kToday, before, seed) == kNever);
    CHECK(TimeUntilAllRestored(kTwice, before, seed) == kNever);
  }
}

TEST_CASE("retry backoff", "[restore]") {
  RetryBackoff backoff({.min_delay = 60ms, .max_delay = 500ms}, 1);

  SECTION("a process waits longer with each failure, up to the limit") {
    Duration longest{0};
    for (int n = 0; n < 200; ++n) {
      const Duration delay = backoff.OnFailure();
      CHECK(delay >= 30ms);
      CHECK(delay <= 500ms);
      longest = std::max(longest, delay);
    }
    CHECK(longest > 400ms);
  }
  SECTION("after a success it starts anew") {
    for (int n = 0; n < 10; ++n) {
      backoff.OnFailure();
    }
    backoff.OnSuccess();
    CHECK(backoff.OnFailure() <= 60ms);
  }
  SECTION("two processes do not ask in step") {
    RetryBackoff other({.min_delay = 60ms, .max_delay = 500ms}, 2);
    int equal = 0;
    for (int n = 0; n < 20; ++n) {
      equal += backoff.OnFailure() == other.OnFailure() ? 1 : 0;
    }
    CHECK(equal < 5);
  }
}

}  // namespace
}  // namespace marjoramplank
