#include <catch2/catch.hpp>

#include "src/entry/appender.h"

namespace marjoramplank {
namespace {

AppendDone DoneWith(const AppendBatch& batch, AppendOutcome outcome) {
  return {.batch = batch.batch, .outcome = outcome};
}

TEST_CASE(
    "The appender batches records, settles lost answers and limits its rate",
    "[entry]") {
  Appender appender(Appender::Options{});
  appender.Push("a");
  appender.Push("b");
  const AppendBatch first = *appender.NextBatch(0ms);
  CHECK(first.lines.size() == 2);
  appender.Push("c");
  CHECK_FALSE(appender.NextBatch(0ms).has_value());  // One batch at a time.

  SECTION("a record that was not sent can be withdrawn") {
    CHECK(appender.Withdraw("c"));
    CHECK_FALSE(appender.Withdraw("a"));
  }
  SECTION("a batch whose answer was lost is settled by a read of the log") {
    appender.OnAppendDone(10ms, DoneWith(first, AppendOutcome::kUnknown));
    CHECK_FALSE(appender.NextBatch(5s).has_value());
    appender.OnRecordRead("a");
    appender.OnCompleteRead(400ms, 400ms);  // Within the settle delay.
    CHECK_FALSE(appender.NextBatch(5s).has_value());
    appender.OnCompleteRead(600ms, 600ms);
    CHECK(appender.NextBatch(5s)->lines == std::vector<std::string>{"b", "c"});
  }
  SECTION("a refused batch is retried in order after a backoff") {
    appender.OnAppendDone(0ms, DoneWith(first, AppendOutcome::kRefused));
    CHECK_FALSE(appender.NextBatch(50ms).has_value());
    CHECK(appender.NextBatch(200ms)->lines ==
          std::vector<std::string>{"a", "b", "c"});
  }
  SECTION("a second of load sends the rate limit plus at most the burst") {
    appender.OnAppendDone(0ms, DoneWith(first, AppendOutcome::kStored));
    int batches = 0;
    for (Time now = 0ms; now < 1s; now += 1ms) {
      appender.Push("x");
      if (const auto batch = appender.NextBatch(now)) {
        ++batches;
        appender.OnAppendDone(now, DoneWith(*batch, AppendOutcome::kStored));
      }
    }
    CHECK(batches <= 120);
    CHECK(batches >= 100);
  }
}

}  // namespace
}  // namespace marjoramplank
