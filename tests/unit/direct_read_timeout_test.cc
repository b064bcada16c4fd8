#include "src/relay/direct_read_timeout.h"

#include <catch2/catch.hpp>

#include "src/store/retry_backoff.h"

namespace marjoramplank {
namespace {

// Guards against reads that give up just before a busy log service answers,
// and against long waits for one that is cut off while relays answer.
TEST_CASE("timeout of direct reads", "[relay]") {
  constexpr Duration kUsual = 1200ms;
  DirectReadTimeout timeout;

  SECTION("is the caller's while the log service answers in time") {
    timeout.OnFailure(kUsual, 8ms);
    CHECK(timeout.For(kUsual) == kUsual);
    timeout.OnSuccess();
    CHECK(timeout.For(kUsual) == kUsual);
  }
  SECTION("is that of long answers after a read that timed out") {
    timeout.OnFailure(kUsual, kUsual);
    CHECK(timeout.For(kUsual) == kBulkReadTimeout);

    SECTION("also after refusals and further ones") {
      timeout.OnFailure(kBulkReadTimeout, 8ms);
      timeout.OnFailure(kBulkReadTimeout, kBulkReadTimeout);
      CHECK(timeout.For(kUsual) == kBulkReadTimeout);
    }
    SECTION("never less than the caller's") {
      CHECK(timeout.For(kBulkReadTimeout + 1s) == kBulkReadTimeout + 1s);
    }
    SECTION("until a read by any route succeeds") {
      timeout.OnSuccess();
      CHECK(timeout.For(kUsual) == kUsual);
    }
  }
}

}  // namespace
}  // namespace marjoramplank
