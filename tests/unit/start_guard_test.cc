#include <catch2/catch.hpp>

#include "src/agent/start_guard.h"

namespace marjoramplank {
namespace {

EntryHeartbeat MakeHeartbeat(std::int64_t version,
                             Time echoed_sent_at,
                             bool config_fresh = true) {
  return {.echoed_sent_at = echoed_sent_at.count(),
          .config_fresh = config_fresh,
          .config_version = version};
}

TEST_CASE(
    "Tasks start only with a recent fresh reply and a data centre in service",
    "[agent]") {
  StartGuard guard(2s);
  CHECK_FALSE(guard.RefusalReason(0ms).empty());  // No configuration yet.

  SECTION("a fresh reply allows starts for two seconds") {
    guard.OnEntryHeartbeat(MakeHeartbeat(1, 10s));
    CHECK(guard.RefusalReason(12s).empty());
    CHECK_FALSE(guard.RefusalReason(12s + 1ms).empty());

    SECTION(
        "a reply to an older report does not extend the time, however late it "
        "arrives") {
      guard.OnEntryHeartbeat(MakeHeartbeat(1, 9s));
      CHECK_FALSE(guard.RefusalReason(13s).empty());
    }
    SECTION("a reply of an entry that is not fresh does not extend the time") {
      guard.OnEntryHeartbeat(MakeHeartbeat(1, 13s, false));
      CHECK_FALSE(guard.RefusalReason(13s).empty());
    }
    SECTION(
        "a newer configuration with the data centre out forbids starts at "
        "once") {
      EntryHeartbeat out = MakeHeartbeat(2, 11s, false);
      out.data_centre_out = true;
      guard.OnEntryHeartbeat(out);
      CHECK_FALSE(guard.RefusalReason(11s).empty());

      SECTION(
          "a reply of an entry that lags behind does not allow starts again") {
        guard.OnEntryHeartbeat(MakeHeartbeat(1, 12s));
        CHECK_FALSE(guard.RefusalReason(12s).empty());
        CHECK(guard.config_version() == 2);
      }
    }
  }
}

}  // namespace
}  // namespace marjoramplank
