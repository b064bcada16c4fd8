#include "src/dispatch/dispatcher.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace marjoramplank {
namespace {

constexpr Time kNow = 100s;

WorkerIncarnation MakeIncarnation(int n) {
  return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
}

// Six workers with 8 accelerators each, in two racks and two data centres.
Ledger Cluster() {
  Ledger ledger;
  ledger.Apply(kNow, PlannerElected{.entry = "e", .epoch = 1});
  for (int n = 0; n < 6; ++n) {
    const std::string rack = n < 3 ? "r1" : "r2";
    ledger.Apply(kNow, WorkerReported{.agent = "a" + std::to_string(n),
                                      .incarnation = MakeIncarnation(n),
                                      .service = "s",
                                      .data_centre = n < 3 ? "d1" : "d2",
                                      .rack = rack,
                                      .labels = {"kind", rack},
                                      .capacity = {.cpu_milli = 64'000,
                                                   .memory_mb = 64'000,
                                                   .accelerators = 8}});
  }
  return ledger;
}

JobRequest Job(const std::string& id, std::int32_t priority, JobStep step) {
  return {.id = id,
          .account = "a",
          .payload = "p",
          .steps = {step},
          .terms = {.queue = "q",
                    .service = "s",
                    .priority = priority,
                    .max_attempts = 2,
                    .stretch = 2,
                    .target = 1s}};
}

RulesView RulesWithGuarantee() {
  RulesView rules;
  rules.loaded = true;
  rules.rules.version = 1;
  rules.rules.accounts = {{.name = "a", .guaranteed_accelerators = 24}};
  return rules;
}

std::vector<LedgerRecord> Plan(const Ledger& ledger, const RulesView& rules) {
  return Dispatcher({}).Plan(
      {.now = kNow, .epoch = 1, .ledger = ledger, .rules = rules});
}

template <typename T>
std::vector<T> RecordsOfType(const std::vector<LedgerRecord>& records) {
  std::vector<T> out;
  for (const LedgerRecord& r : records) {
    if (const auto* t = std::get_if<T>(&r)) {
      out.push_back(*t);
    }
  }
  return out;
}

TEST_CASE("dispatcher", "[dispatcher]") {
  Ledger ledger = Cluster();
  RulesView rules = RulesWithGuarantee();

  SECTION("a same-rack gang starts as a whole in one rack") {
    ledger.Apply(kNow, JobSubmitted{.request = Job("g", 1,
                                                   {.tasks = 3,
                                                    .need = {.accelerators = 8},
                                                    .estimate = 2s,
                                                    .gang = true,
                                                    .same_rack = true})});
    const auto starts = RecordsOfType<RunStarted>(Plan(ledger, rules));
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].members.size() == 3);
    const std::string rack =
        ledger.FindWorker(starts[0].members[0].incarnation)->report.rack;
    for (const MemberPlace& m : starts[0].members) {
      CHECK(ledger.FindWorker(m.incarnation)->report.rack == rack);
    }
  }

  SECTION("one plan keeps to the most tasks per worker") {
    ledger.Apply(kNow, JobSubmitted{.request = Job("p", 1,
                                                   {.tasks = 8,
                                                    .need = {.accelerators = 1},
                                                    .max_per_worker = 1})});
    const auto starts = RecordsOfType<RunStarted>(Plan(ledger, rules));
    CHECK(starts.size() == 6);
    std::set<WorkerIncarnation> used;
    for (const RunStarted& s : starts) {
      CHECK(used.insert(s.members[0].incarnation).second);
    }
  }

  SECTION("nothing starts in a closed data centre") {
    rules.closed_data_centres = {"d1"};
    ledger.Apply(
        kNow,
        JobSubmitted{
            .request = Job("p", 1, {.tasks = 6, .need = {.accelerators = 8}})});
    const auto starts = RecordsOfType<RunStarted>(Plan(ledger, rules));
    CHECK(starts.size() == 3);
    for (const RunStarted& s : starts) {
      CHECK(ledger.FindWorker(s.members[0].incarnation)->report.data_centre ==
            "d2");
    }
  }

  SECTION("nothing starts on a worker whose agent sends no heartbeat") {
    ledger.Apply(
        kNow,
        JobSubmitted{.request = Job("p", 1, {.need = {.accelerators = 1}})});
    CHECK(Dispatcher({})
              .Plan({.now = kNow + 4s,
                     .epoch = 1,
                     .ledger = ledger,
                     .rules = rules})
              .empty());
  }

  SECTION("a recurring job waits for its due time") {
    JobRequest job = Job("t", 1, {.need = {.accelerators = 1}});
    job.recurrence = {
        .occurrence_count = 2, .first_due_unix_ms = 5000, .interval_ms = 1000};
    ledger.Apply(kNow, JobSubmitted{.request = job});
    const auto at = [&](std::int64_t unix_ms) {
      return Dispatcher({}).Plan({.now = kNow,
                                  .unix_ms = unix_ms,
                                  .epoch = 1,
                                  .ledger = ledger,
                                  .rules = rules});
    };
    CHECK(at(4999).empty());
    CHECK(at(5000).size() == 1);
    CHECK(at(6000).size() == 2);
  }

  SECTION("a full cluster") {
    ledger.Apply(
        kNow,
        JobSubmitted{.request = Job(
                         "low", 2, {.tasks = 6, .need = {.accelerators = 8}})});
    for (const LedgerRecord& r : Plan(ledger, rules)) {
      ledger.Apply(kNow, r);
    }
    const JobRequest urgent = Job("urgent", 0,
                                  {.tasks = 2,
                                   .need = {.accelerators = 8},
                                   .estimate = 2s,
                                   .gang = true});
    ledger.Apply(kNow, JobSubmitted{.request = urgent});

    SECTION("a guaranteed job preempts at once, and no more than it needs") {
      const auto stops = RecordsOfType<RunStopped>(Plan(ledger, rules));
      REQUIRE(stops.size() == 2);
      CHECK(stops[0].cause == StopCause::kReclaim);
    }
    SECTION("the same victims are not stopped twice") {
      for (const LedgerRecord& r : Plan(ledger, rules)) {
        ledger.Apply(kNow, r);
      }
      CHECK(Plan(ledger, rules).empty());
    }
    SECTION("freed capacity stays reserved for the guaranteed job") {
      const auto stops = RecordsOfType<RunStopped>(Plan(ledger, rules));
      for (const RunStopped& s : stops) {
        ledger.Apply(kNow, s);
      }
      const WorkerIncarnation freed = [&] {
        for (const auto& [incarnation, worker] : ledger.workers()) {
          if (worker.runs.contains(stops[0].first)) {
            return incarnation;
          }
        }
        return WorkerIncarnation{};
      }();
      ledger.Apply(kNow, TaskEnded{.incarnation = freed,
                                   .end_number = 1,
                                   .task = stops[0].first,
                                   .run = 1,
                                   .outcome = TaskOutcome::kStopped});
      CHECK(RecordsOfType<RunStarted>(Plan(ledger, rules)).empty());
    }
  }

  SECTION("a worker where every run fails is quarantined") {
    for (int n = 0; n < 2; ++n) {
      const std::string id = "f" + std::to_string(n);
      ledger.Apply(
          kNow,
          JobSubmitted{.request = Job(id, 1, {.need = {.accelerators = 1}})});
      ledger.Apply(
          kNow, RunStarted{.epoch = 1,
                           .first = {.job = id},
                           .run = 1,
                           .members = {{.incarnation = MakeIncarnation(0)}}});
      ledger.Apply(kNow, TaskEnded{.incarnation = MakeIncarnation(0),
                                   .end_number = n + 1,
                                   .task = {.job = id},
                                   .run = 1,
                                   .outcome = TaskOutcome::kFailed});
    }
    const auto starts = RecordsOfType<RunStarted>(Plan(ledger, rules));
    REQUIRE(starts.size() == 2);
    for (const RunStarted& s : starts) {
      CHECK(s.members[0].incarnation != MakeIncarnation(0));
    }
  }

  SECTION("decisions of a replaced planner have no effect") {
    ledger.Apply(
        kNow,
        JobSubmitted{.request = Job("p", 1, {.need = {.accelerators = 1}})});
    const auto starts = RecordsOfType<RunStarted>(Plan(ledger, rules));
    REQUIRE(starts.size() == 1);
    ledger.Apply(kNow, PlannerElected{.entry = "f", .epoch = 2});
    CHECK_FALSE(ledger.Apply(kNow, starts[0]));
  }
}

TEST_CASE("dispatcher: a worker is a place for work only while it is heard",
          "[dispatcher][liveness]") {
  Ledger ledger = Cluster();
  const RulesView rules = RulesWithGuarantee();
  ledger.Apply(kNow, JobSubmitted{.request = Job("j", 1,
                                                 {.tasks = 6,
                                                  .need = {.accelerators = 8},
                                                  .estimate = 2s})});
  const auto heartbeat = [&](int n, const WorkerIncarnation& heard,
                             Duration ago) {
    ledger.Apply(kNow, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                      .process = "p2",
                                      .heard_worker = heard,
                                      .heard_ago = ago});
  };
  const auto started = [&] {
    std::set<std::string> workers;
    for (const auto& r : RecordsOfType<RunStarted>(Plan(ledger, rules))) {
      workers.insert(r.members[0].incarnation.id);
    }
    return workers;
  };

  SECTION("not one whose restarted agent has not heard it") {
    heartbeat(0, {}, 0ms);
    CHECK(started() == std::set<std::string>{"w1", "w2", "w3", "w4", "w5"});

    SECTION("until the agent hears it") {
      heartbeat(0, MakeIncarnation(0), 100ms);
      CHECK(started().contains("w0"));
    }
  }
  SECTION("not one whose agent hears another incarnation") {
    heartbeat(0, {.id = "w0", .started_at_unix_ms = 2}, 0ms);
    CHECK_FALSE(started().contains("w0"));
  }
  SECTION("not one that has been silent for long beside a live agent") {
    heartbeat(0, MakeIncarnation(0), 5s);
    CHECK_FALSE(started().contains("w0"));
  }
  SECTION("not one that only the history from before a restart speaks of") {
    ledger.ForgetLiveness();
    CHECK(started().empty());

    SECTION("until a new heartbeat is read") {
      heartbeat(3, MakeIncarnation(3), 100ms);
      CHECK(started() == std::set<std::string>{"w3"});
    }
  }
  SECTION("an agent of an earlier version does not say, and is believed") {
    heartbeat(0, {}, -1ms);
    CHECK(started().size() == 6);
  }
}

}  // namespace
}  // namespace marjoramplank
