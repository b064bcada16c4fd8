#include <catch2/catch.hpp>

#include "tests/support/history_checker.h"
#include "tests/support/virtual_cluster.h"

namespace marjoramplank::testing {
namespace {

// Runs each check on a history that violates its guarantee: a check that cannot
// fail proves nothing.
using Kind = Event::Kind;

std::map<std::string, SubmittedJob> OneJob(int tasks, bool idempotent) {
  JobSpec spec = MakeJob("a", tasks, 1);
  spec.idempotent = idempotent;
  return {{"j", {.spec = spec, .id = "j"}}};
}

Event MakeStart(Time at, int task, int attempt = 1, std::string dc = "dc0") {
  return {.at = at,
          .kind = Kind::kTaskStarted,
          .subject = "w",
          .job = "j",
          .attempt = attempt,
          .task = task,
          .text = std::move(dc)};
}

Event MakeReply(Time at, std::string body) {
  return {
      .at = at, .kind = Kind::kReply, .subject = "e", .text = std::move(body)};
}

std::size_t CountViolations(const std::vector<Event>& events,
                            int tasks,
                            bool idempotent) {
  return CheckHistory(events, OneJob(tasks, idempotent), 100s).size();
}

TEST_CASE("The history checker detects each violation", "[checker]") {
  SECTION("a task that is not idempotent was started twice") {
    CHECK(CountViolations({MakeStart(1s, 0), MakeStart(2s, 0, 2)}, 1, false) ==
          1);
    CHECK(CountViolations({MakeStart(1s, 0), MakeStart(2s, 0, 2)}, 1, true) ==
          0);
  }
  SECTION("a partial gang ran for longer than the bound") {
    CHECK(CountViolations({MakeStart(1s, 0)}, 2, true) == 1);
    Event stop = MakeStart(20s, 0);
    stop.kind = Kind::kTaskStopped;
    CHECK(CountViolations({MakeStart(1s, 0), stop}, 2, true) == 0);
  }
  SECTION("a task started in a data centre out of service") {
    const Event out{.at = 1s, .kind = Kind::kDataCentreOut, .subject = "dc0"};
    CHECK(CountViolations({out, MakeStart(5s, 0)}, 1, true) == 1);
    CHECK(CountViolations({out, MakeStart(3s, 0)}, 1, true) == 0);
    CHECK(CountViolations({out, MakeStart(5s, 0, 1, "dc1")}, 1, true) == 0);
  }
  SECTION("a job reported as not run was started") {
    CHECK(CountViolations({MakeReply(1s, R"({"job":"j","state":"not_run"})"),
                           MakeStart(2s, 0)},
                          1, true) == 1);
  }
  SECTION("an answer has missing or swapped parts, or is another job's") {
    CHECK(CountViolations(
              {MakeReply(
                  1s, R"({"job":"j","state":"done","parts":["answer:j:0"]})")},
              2, true) == 1);
    CHECK(
        CountViolations(
            {MakeReply(
                1s,
                R"({"job":"j","state":"done","parts":["answer:j:1","answer:j:0"]})")},
            2, true) == 1);
    CHECK(CountViolations(
              {MakeReply(
                  1s, R"({"job":"j","state":"done","parts":["answer:k:0"]})")},
              1, true) == 1);
    CHECK(CountViolations(
              {MakeReply(
                  1s, R"({"job":"j","state":"done","parts":["answer:j:0"]})")},
              1, true) == 0);
  }
  SECTION("two callers got different end states") {
    CHECK(CountViolations({MakeReply(1s, R"({"job":"j","state":"failed"})"),
                           MakeReply(2s, R"({"job":"j","state":"cancelled"})")},
                          1, true) == 1);
  }
  SECTION("the configuration version of a process decreased") {
    const Event newer{
        .kind = Kind::kConfigInForce, .subject = "e0/1", .number = 7};
    const Event older{
        .kind = Kind::kConfigInForce, .subject = "e0/1", .number = 5};
    CHECK(CountViolations({newer, older}, 1, true) == 1);
    CHECK(CountViolations({older, newer}, 1, true) == 0);
  }
}

}  // namespace
}  // namespace marjoramplank::testing
