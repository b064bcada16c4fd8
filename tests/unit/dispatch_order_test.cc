#include <catch2/catch.hpp>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;

Ledger OneWorker() {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(
      kNow, WorkerReported{.agent = "a",
                           .incarnation = {.id = "w", .started_at_unix_ms = 1},
                           .service = "s",
                           .data_centre = "d",
                           .rack = "r",
                           .capacity = {.accelerators = 8}});
  return ledger;
}

// Submits a job that needs a whole worker for 2 s. Its objective is 5 s; a late
// end earns credit until 15 s.
void Submit(Ledger& ledger, const std::string& id, Duration time_waited) {
  const JobRequest job{.id = id,
                       .account = "a",
                       .payload = "p",
                       .steps = {{.need = {.accelerators = 8}, .estimate = 2s}},
                       .terms = {.queue = "q",
                                 .service = "s",
                                 .priority = 1,
                                 .max_attempts = 2,
                                 .stretch = 2,
                                 .target = 1s}};
  REQUIRE(ledger.Apply(kNow - time_waited, JobSubmitted{.request = job}));
}

std::string FirstStarted(const Ledger& ledger) {
  RulesView rules;
  rules.loaded = true;
  for (const LedgerRecord& r : Dispatcher({}).Plan(
           {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
    if (const auto* start = std::get_if<RunStarted>(&r)) {
      return start->first.job;
    }
  }
  return "";
}

TEST_CASE("order of waiting jobs", "[dispatch_order]") {
  Ledger ledger = OneWorker();

  SECTION("the earlier deadline goes first among those that can be met") {
    Submit(ledger, "later", 1s);
    Submit(ledger, "sooner", 2s);
    CHECK(FirstStarted(ledger) == "sooner");
  }

  SECTION("a job that can meet its deadline goes before one that cannot") {
    Submit(ledger, "late", 6s);
    Submit(ledger, "in_time", 1s);
    CHECK(FirstStarted(ledger) == "in_time");
  }

  SECTION("a late job that earns credit goes before one that no longer does") {
    Submit(ledger, "hopeless", 30s);
    Submit(ledger, "late", 6s);
    CHECK(FirstStarted(ledger) == "late");
  }

  SECTION("a job that earns no credit runs when nothing else waits") {
    Submit(ledger, "hopeless", 30s);
    CHECK(FirstStarted(ledger) == "hopeless");
  }
}

}  // namespace
}  // namespace marjoramplank
