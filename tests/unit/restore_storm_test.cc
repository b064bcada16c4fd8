#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/store/retry_backoff.h"

namespace marjoramplank {
namespace {

// The log service under the reads of a restart, in virtual time: one queue
// with a fixed throughput, which refuses a call that would wait for more than
// 2 s. A caller that has given up is answered all the same.
class OverloadedService {
 public:
  explicit OverloadedService(double mb_per_s) : mb_per_s_(mb_per_s) {}

  // Returns when the answer has been sent. Nothing: the call is refused.
  std::optional<Time> Read(Time now, double megabytes) {
    busy_until_ = std::max(busy_until_, now);
    if (busy_until_ - now > kMaxWait) {
      return std::nullopt;
    }
    busy_until_ +=
        Duration(static_cast<std::int64_t>(megabytes / mb_per_s_ * 1000));
    return busy_until_;
  }

 private:
  static constexpr Duration kMaxWait = 2s;
  const double mb_per_s_;
  Time busy_until_{0};
};

// The snapshot of the deployment with 295 processes was 0.53 MB; both slots in
// base64 are read.
constexpr int kProcesses = 295;
constexpr double kMegabytesPerProcess = 1.4;
constexpr double kMegabytesPerSecond = 80;
// Everything is served again this long after a power loss of all machines.
constexpr Time kRecoveryBound = 15s;

struct Policy {
  Duration timeout;
  std::function<Duration(int process)> delay_after_failure;
};

// Returns when the last process has its snapshot. Nothing: not within a minute.
std::optional<Time> TimeUntilAllRestored(const Policy& policy) {
  OverloadedService service(kMegabytesPerSecond);
  std::multimap<Time, int> attempts;
  for (int n = 0; n < kProcesses; ++n) {
    attempts.emplace(n * 1ms, n);  // All start within 0.3 s.
  }
  Time last{0};
  while (!attempts.empty()) {
    const auto [now, process] = *attempts.begin();
    attempts.erase(attempts.begin());
    if (now > 60s) {
      return std::nullopt;
    }
    const std::optional<Time> answered_at =
        service.Read(now, kMegabytesPerProcess);
    if (answered_at && *answered_at - now <= policy.timeout) {
      last = std::max(last, *answered_at);
      continue;
    }
    const Time failed_at = answered_at ? now + policy.timeout : now + 4ms;
    attempts.emplace(failed_at + policy.delay_after_failure(process), process);
  }
  return last;
}

// Guards against a restart of everything after which no process gets its
// snapshot any more: answers that come after the timeout keep the log service
// busy, and every caller asks for them again.
TEST_CASE("hundreds of processes restart at the same moment", "[restore]") {
  SECTION("a fixed delay and a timeout below the service's queue never end") {
    const Policy before{.timeout = 2s,
                        .delay_after_failure = [](int) { return 60ms; }};
    CHECK_FALSE(TimeUntilAllRestored(before).has_value());
  }

  SECTION("with backoff and a longer timeout all are back within the bound") {
    for (std::uint_fast32_t seed = 1; seed <= 20; ++seed) {
      std::vector<RetryBackoff> backoffs;
      backoffs.reserve(kProcesses);
      for (int n = 0; n < kProcesses; ++n) {
        backoffs.emplace_back(RetryBackoff::Options{},
                              seed * 1000 + static_cast<unsigned>(n));
      }
      const Policy policy{
          .timeout = kBulkReadTimeout, .delay_after_failure = [&](int process) {
            return backoffs[static_cast<std::size_t>(process)].OnFailure();
          }};
      const std::optional<Time> restored_at = TimeUntilAllRestored(policy);
      CAPTURE(seed);
      REQUIRE(restored_at.has_value());
      CHECK(*restored_at < kRecoveryBound / 2);
    }
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
