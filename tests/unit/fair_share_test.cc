// Order among the accounts of a service that has less capacity than they want.

#include "src/dispatch/fair_share.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;
constexpr std::int64_t kPerWorker = 8;

// Jobs of 2 s. Their objective is 5 s.
struct World {
  Ledger ledger;
  RulesView rules;
  int submitted = 0;

  explicit World(int workers) {
    rules.loaded = true;
    ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < workers; ++n) {
      ledger.Apply(kNow,
                   WorkerReported{.agent = "agent" + std::to_string(n),
                                  .incarnation = {.id = "w" + std::to_string(n),
                                                  .started_at_unix_ms = 1},
                                  .service = "s",
                                  .data_centre = "d",
                                  .rack = "r",
                                  .capacity = {.cpu_milli = 64'000,
                                               .memory_mb = 256'000,
                                               .accelerators = kPerWorker}});
    }
  }

  std::string Submit(const std::string& account,
                     const JobStep& shape,
                     Duration waited = 0s,
                     std::int32_t priority = 1) {
    JobStep step = shape;
    step.estimate = 2s;
    std::string id = account + "-" + std::to_string(submitted++);
    REQUIRE(ledger.Apply(
        kNow - waited, JobSubmitted{.request = {.id = id,
                                                .account = account,
                                                .payload = "p",
                                                .steps = {step},
                                                .terms = {.queue = "q",
                                                          .service = "s",
                                                          .priority = priority,
                                                          .max_attempts = 2,
                                                          .stretch = 2,
                                                          .target = 1s}}}));
    return id;
  }

  // Plans and applies the plan. Returns accelerators started, by account.
  std::map<std::string, std::int64_t> Plan() {
    std::map<std::string, std::int64_t> out;
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules})) {
      if (const auto* start = std::get_if<RunStarted>(&r)) {
        const LedgerJob& job = *ledger.FindJob(start->first.job);
        out[job.request.account] +=
            std::ssize(start->members) * job.request.steps[0].need.accelerators;
        for (const MemberPlace& m : start->members) {
          running.push_back(
              {.incarnation = m.incarnation,
               .end_number = 1,
               .task = {.job = start->first.job, .index = m.index},
               .run = start->run});
        }
      }
      ledger.Apply(kNow, r);
    }
    return out;
  }

  // Ends the oldest runs.
  void End(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      REQUIRE(ledger.Apply(kNow, running.front()));
      running.erase(running.begin());
    }
  }

  std::vector<TaskEnded> running;
};

const JobStep kBatch = {.tasks = 8, .need = {.accelerators = 1}};

// Guards against: an account that submits many jobs first gets the whole
// service until they are done.
TEST_CASE("accounts compete for a service that is too small", "[fair_share]") {
  World world(2);

  SECTION("a burst that came first leaves the others their share") {
    for (int n = 0; n < 10; ++n) {
      world.Submit("big", kBatch, 1s);
    }
    world.Submit("small", kBatch);
    auto started = world.Plan();
    CHECK(started["big"] == 8);
    CHECK(started["small"] == 8);

    SECTION("and takes the capacity that they no longer want") {
      world.End(16);
      started = world.Plan();
      CHECK(started["big"] == 16);
    }
  }

  SECTION("a burst takes idle capacity, and returns to its share") {
    for (int n = 0; n < 10; ++n) {
      world.Submit("big", kBatch, 1s);
    }
    REQUIRE(world.Plan()["big"] == 16);
    world.Submit("small", kBatch);
    world.Submit("small", kBatch);
    world.End(4);
    auto started = world.Plan();
    CHECK(started["small"] == 4);
    CHECK(started["big"] == 0);
    SECTION("until both have the same") {
      world.End(8);
      started = world.Plan();
      CHECK(started["small"] == 4);
      CHECK(started["big"] == 4);
    }
  }

  SECTION("what one account does not want goes to the others") {
    world.Submit("little", {.tasks = 2, .need = {.accelerators = 1}});
    for (int n = 0; n < 4; ++n) {
      world.Submit("a", kBatch, 1s);
      world.Submit("b", kBatch);
    }
    auto started = world.Plan();
    CHECK(started["little"] == 2);
    CHECK(started["a"] == 7);
    CHECK(started["b"] == 7);
  }

  SECTION("a wide gang counts as one unit at its account's position") {
    for (int n = 0; n < 10; ++n) {
      world.Submit("big", kBatch);
    }
    REQUIRE(world.Plan()["big"] == 16);
    // Wider than the share of 8.
    world.Submit("wide",
                 {.tasks = 12, .need = {.accelerators = 1}, .gang = true}, 1s);
    world.End(12);
    auto started = world.Plan();
    CHECK(started["wide"] == 12);
    CHECK(started["big"] == 0);
    SECTION("and the next one waits for its turn") {
      world.Submit(
          "wide", {.tasks = 12, .need = {.accelerators = 1}, .gang = true}, 1s);
      world.End(4);
      CHECK(world.Plan()["big"] == 4);
    }
  }

  SECTION("a better outlook goes before a smaller use") {
    // Late: its objective of 5 s has passed.
    for (int n = 0; n < 3; ++n) {
      world.Submit("small", kBatch, 6s);
      world.Submit("big", kBatch, 1s);
    }
    auto started = world.Plan();
    CHECK(started["big"] == 16);
    CHECK(started["small"] == 0);
  }

  SECTION("a higher priority goes before a smaller use") {
    for (int n = 0; n < 3; ++n) {
      world.Submit("small", kBatch, 1s, 2);
      world.Submit("big", kBatch, 1s, 1);
    }
    CHECK(world.Plan()["big"] == 16);
  }

  SECTION("the order within an account stays by deadline") {
    const std::string later = world.Submit("big", kBatch, 0s);
    const std::string sooner = world.Submit("big", kBatch, 2s);
    world.Submit("small", kBatch, 1s);
    world.Submit("small", kBatch, 1s);
    world.Plan();
    CHECK(world.ledger.FindJob(sooner)->phase == JobPhase::kRunning);
    CHECK(world.ledger.FindJob(later)->phase == JobPhase::kQueued);
  }
}

// Guards against: an account pays with its fair share for what it is
// guaranteed.
TEST_CASE("guaranteed accelerators are the account's own", "[fair_share]") {
  World world(2);
  world.rules.rules.accounts = {{.name = "owner", .guaranteed_accelerators = 4},
                                {.name = "other"}};
  world.Submit("owner", {.tasks = 4, .need = {.accelerators = 1}}, 0s, 0);
  REQUIRE(world.Plan()["owner"] == 4);
  for (int n = 0; n < 3; ++n) {
    world.Submit("other", kBatch, 1s);
    world.Submit("owner", kBatch);
  }
  auto started = world.Plan();
  CHECK(started["owner"] == 6);
  CHECK(started["other"] == 6);
}

}  // namespace
}  // namespace marjoramplank
