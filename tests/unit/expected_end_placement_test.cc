#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "tests/support/trained_ledger.h"

namespace marjoramplank {
namespace {

constexpr Time kBegin = 100s;
constexpr std::int64_t kAccelerators = 4;  // Of each worker.
constexpr double kSlow = 2.2;
constexpr Duration kUrgentTime = 2s;
constexpr Duration kBatchTime = 8s;
constexpr std::int32_t kGang = 5;

// As the deployment with slow machines has them.
const QueueTerms kUrgent{.queue = "urgent",
                         .service = "s",
                         .priority = 0,
                         .max_attempts = 3,
                         .stretch = 1.5,
                         .target = 300ms};
const QueueTerms kGangs{.queue = "gangs",
                        .service = "s",
                        .priority = 1,
                        .max_attempts = 3,
                        .stretch = 3,
                        .target = 1s};
const QueueTerms kBatch{.queue = "batch",
                        .service = "s",
                        .priority = 2,
                        .max_attempts = 3,
                        .stretch = 3,
                        .target = 3s};

JobStep UrgentGang() {
  return {.tasks = kGang,
          .need = {.accelerators = 1},
          .estimate = kUrgentTime,
          .gang = true};
}

JobStep BatchStep(std::int32_t tasks) {
  return {.tasks = tasks, .need = {.accelerators = 1}, .estimate = kBatchTime};
}

// Workers of which all but the unknown ones have been learned, and the
// decisions of plans at given times.
class Cluster {
 public:
  // Slowness by worker, and the racks that they are in; 0: not known.
  explicit Cluster(const std::vector<double>& slowness, int per_rack = 100) {
    ledger_.Apply(kBegin, PlannerElected{.entry = "e", .epoch = 1});
    std::vector<TrainedMachine> machines;
    for (std::size_t n = 0; n < slowness.size(); ++n) {
      const int i = static_cast<int>(n);
      ledger_.Apply(
          kBegin, WorkerReported{.agent = Agent(i),
                                 .incarnation = Worker(i),
                                 .service = "s",
                                 .data_centre = "d",
                                 .rack = "r" + std::to_string(i / per_rack),
                                 .capacity = {.accelerators = kAccelerators}});
      if (slowness[n] > 0) {
        machines.push_back({.worker = Worker(i), .slowness = slowness[n]});
      }
    }
    workers_ = static_cast<int>(slowness.size());
    TrainMachines(ledger_, kBegin, machines);
    rules_.loaded = true;
    rules_.rules.accounts = {
        {.name = "guaranteed", .guaranteed_accelerators = 20},
        {.name = "other"}};
  }

  static WorkerIncarnation Worker(int n) {
    return {.id = "w" + std::to_string(100 + n), .started_at_unix_ms = 1};
  }
  static std::string Agent(int n) { return "a" + std::to_string(n); }

  void Submit(Time at,
              const std::string& id,
              const QueueTerms& terms,
              const JobStep& step,
              const std::string& account = "other") {
    REQUIRE(ledger_.Apply(at, JobSubmitted{.request = {.id = id,
                                                       .account = account,
                                                       .payload = "p",
                                                       .steps = {step},
                                                       .terms = terms}}));
  }

  // A running job on the workers: one task after the other, as many as fit.
  void Run(Time at,
           const std::string& id,
           const QueueTerms& terms,
           JobStep step,
           const std::vector<int>& workers) {
    step.tasks = static_cast<std::int32_t>(workers.size());
    Submit(at, id, terms, step);
    for (std::int32_t i = 0; i < step.tasks; ++i) {
      const TaskRef task{.job = id, .index = i};
      REQUIRE(ledger_.Apply(
          at, RunStarted{
                  .epoch = 1,
                  .first = task,
                  .run = 1,
                  .members = {{.index = i,
                               .incarnation = Worker(
                                   workers[static_cast<std::size_t>(i)])}}}));
    }
  }

  void EndJob(Time at, const std::string& id) {
    std::vector<TaskEnded> ends;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        if (task.job == id) {
          ends.push_back(
              {.incarnation = incarnation, .task = task, .run = run.run});
        }
      }
    }
    for (const TaskEnded& end : ends) {
      ledger_.Apply(at, end);
    }
  }

  void Plan(Time at) {
    for (int n = 0; n < workers_; ++n) {
      ledger_.Apply(at, AgentHeartbeat{.agent = Agent(n),
                                       .process = "p",
                                       .heard_worker = Worker(n),
                                       .heard_ago = Duration(0)});
    }
    trace_ = {};
    stops_ = 0;
    for (const LedgerRecord& r : Dispatcher({}).Plan({.now = at,
                                 .epoch = 1,
                                 .ledger = ledger_,
                                 .rules = rules_,
                                 .trace = &trace_})) {
      REQUIRE(ledger_.Apply(at, r));
      stops_ += std::holds_alternative<RunStopped>(r) ? 1 : 0;
    }
  }

  // Workers that run tasks of the job, one for each task.
  std::vector<int> WorkersOf(const std::string& job) const {
    std::vector<int> out;
    for (int n = 0; n < workers_; ++n) {
      for (const auto& [task, run] : ledger_.FindWorker(Worker(n))->runs) {
        if (task.job == job) {
          out.push_back(n);
        }
      }
    }
    return out;
  }

  const Dispatcher::Trace& trace() const { return trace_; }
  int stops() const { return stops_; }

 private:
  Ledger ledger_;
  RulesView rules_;
  Dispatcher::Trace trace_;
  int workers_ = 0;
  int stops_ = 0;
};

// The worker's number, `count` times each.
std::vector<int> Each(const std::vector<int>& workers, int count) {
  std::vector<int> out;
  for (const int worker : workers) {
    out.insert(out.end(), static_cast<std::size_t>(count), worker);
  }
  return out;
}

bool AllIn(const std::vector<int>& workers, const std::set<int>& allowed) {
  return std::all_of(workers.begin(), workers.end(),
                     [&](int w) { return allowed.contains(w); });
}

TEST_CASE("classes of speed", "[dispatcher][speed]") {
  CHECK(SpeedClass(0.5) == 0);
  CHECK(SpeedClass(1.29) == 0);
  CHECK(SpeedClass(1.31) == 1);
  CHECK(SpeedClass(1.83) == 1);
  CHECK(SpeedClass(1.85) == 2);
  CHECK(SpeedClass(2.59) == 2);
  CHECK(SpeedClass(2.61) == 3);
}

// Guards against gangs that start within 0.1 s and still end late, because one
// member is on a slow machine.
TEST_CASE("two thirds fast, one third slow, gangs of five",
          "[dispatcher][speed]") {
  // Workers 2, 5 and 8 are slow.
  Cluster c({1, 1, kSlow, 1, 1, kSlow, 1, 1, kSlow});
  const std::set<int> fast{0, 1, 3, 4, 6, 7};
  const std::set<int> slow{2, 5, 8};
  const std::vector<int> all_fast{0, 1, 3, 4, 6, 7};

  SECTION("best fit would take the slow workers, which are partly used") {
    c.Run(kBegin, "b", kBatch, BatchStep(0), Each({2, 5, 8}, 2));
    c.Submit(kBegin, "u", kUrgent, UrgentGang());
    c.Plan(kBegin);
    CHECK(c.WorkersOf("u").size() == kGang);
    CHECK(AllIn(c.WorkersOf("u"), fast));
    REQUIRE(c.trace().starts.size() == 1);
    CHECK(c.trace().starts[0].slowness == 1);
    CHECK(c.trace().starts[0].expected_run_time == kUrgentTime);
  }

  SECTION("fast workers are full of work of the same priority") {
    const JobStep other{.need = {.accelerators = 1}, .estimate = kUrgentTime};
    c.Run(kBegin, "other", kUrgent, other, Each(all_fast, 4));

    SECTION("that ends soon: the gang waits for it") {
      const Time at = kBegin + 1600ms;
      c.Submit(at, "u", kUrgent, UrgentGang());
      c.Plan(at);
      CHECK(c.WorkersOf("u").empty());
      REQUIRE(c.trace().fast_waits.size() == 1);
      CHECK(c.trace().fast_waits[0].expected_wait == 400ms);
      c.EndJob(at + 400ms, "other");
      c.Plan(at + 400ms);
      CHECK(c.WorkersOf("u").size() == kGang);
      CHECK(AllIn(c.WorkersOf("u"), fast));
    }

    SECTION("that lasts: the gang starts on slow workers at once") {
      c.Submit(kBegin, "u", kUrgent, UrgentGang());
      c.Plan(kBegin);
      CHECK(c.WorkersOf("u").size() == kGang);
      CHECK(AllIn(c.WorkersOf("u"), slow));
      CHECK(c.trace().starts[0].slowness == Approx(kSlow).epsilon(0.05));
    }

    SECTION("that lasts longer than expected: the wait is bounded") {
      const Time at = kBegin + 1700ms;
      const bool is_guaranteed = GENERATE(true, false);
      c.Submit(at, "u", kUrgent, UrgentGang(),
               is_guaranteed ? "guaranteed" : "other");
      Time started_at{0};
      for (Time now = at; now <= at + 2s && started_at == Time(0);
           now += 50ms) {
        c.Plan(now);
        started_at = c.WorkersOf("u").empty() ? Time(0) : now;
      }
      REQUIRE(started_at > at);
      CHECK(started_at - at <= (is_guaranteed ? 700ms : 1050ms));
      CHECK(AllIn(c.WorkersOf("u"), slow));
    }
  }

  SECTION("fast workers are full of batch work") {
    c.Run(kBegin, "b", kBatch, BatchStep(0), Each(all_fast, 4));

    SECTION("just started: it is preempted rather than starting slowly") {
      const Time at = kBegin + 500ms;
      c.Submit(at, "u", kUrgent, UrgentGang());
      c.Plan(at);
      CHECK(c.WorkersOf("u").empty());
      CHECK(c.stops() == kGang);
      // The unit keeps waiting for these, and no further run is stopped.
      c.Plan(at + 300ms);
      CHECK(c.WorkersOf("u").empty());
      CHECK(c.stops() == 0);
    }

    SECTION("that would lose more than the gang gains") {
      const Time at = kBegin + 4s;
      c.Submit(at, "u", kUrgent, UrgentGang());
      c.Plan(at);
      CHECK(c.stops() == 0);
      CHECK(AllIn(c.WorkersOf("u"), slow));
      CHECK(c.WorkersOf("u").size() == kGang);
    }

    SECTION("runs that do not stop delay a guarantee by 1 s at most") {
      c.Submit(kBegin, "u", kUrgent, UrgentGang(), "guaranteed");
      for (Time now = kBegin; now <= kBegin + 1050ms; now += 50ms) {
        c.Plan(now);
      }
      CHECK(c.WorkersOf("u").size() == kGang);
    }
  }

  SECTION("batch work with slack leaves the fast workers free") {
    c.Submit(kBegin, "b", kBatch, BatchStep(12));
    c.Plan(kBegin);
    CHECK(c.WorkersOf("b").size() == 12);
    CHECK(AllIn(c.WorkersOf("b"), slow));
    CHECK(c.trace().starts[0].speed_order == SpeedOrder::kSlowFirst);
  }

  SECTION("more of it than fits there takes fast workers, too") {
    c.Submit(kBegin, "b", kBatch, BatchStep(20));
    c.Plan(kBegin);
    CHECK(c.WorkersOf("b").size() == 20);
  }

  SECTION("batch work without slack takes fast workers") {
    c.Submit(kBegin, "b", kBatch, BatchStep(12));
    c.Plan(kBegin + 15s);
    CHECK(c.WorkersOf("b").size() == 12);
    CHECK(AllIn(c.WorkersOf("b"), fast));
  }

  SECTION("batch work splits no whole worker while larger tasks wait") {
    c.Run(kBegin, "partly", kUrgent, BatchStep(0), {0});
    JobStep whole = BatchStep(9);
    whole.need.accelerators = kAccelerators;
    c.Submit(kBegin, "whole", kBatch, whole);
    c.Submit(kBegin - 1s, "b", kBatch, BatchStep(3));
    c.Plan(kBegin);
    CHECK(c.WorkersOf("b") == std::vector<int>{0, 0, 0});
    CHECK(c.WorkersOf("whole").size() == 8);
  }

  SECTION("single tasks without slack: as many wait as find room in time") {
    // Of a priority that batch work does not preempt.
    c.Run(kBegin, "full", kGangs, BatchStep(0), Each(all_fast, 4));
    QueueTerms tight = kBatch;
    tight.stretch = 1;
    tight.target = 5s;
    const Time at = kBegin + 6400ms;
    c.Submit(at, "b", tight, BatchStep(30));
    c.Plan(at);
    CHECK(c.WorkersOf("b").size() == 6);
    CHECK(AllIn(c.WorkersOf("b"), slow));
    REQUIRE(c.trace().fast_waits.size() == 1);
    CHECK(c.trace().fast_waits[0].units == 24);
    CHECK(c.trace().fast_waits[0].expected_wait == 1600ms);
  }

  SECTION("gangs with slack run on slow workers only, or on fast ones only") {
    const std::int32_t tasks = GENERATE(8, 13);
    c.Submit(kBegin, "g", kGangs,
             {.tasks = tasks,
              .need = {.accelerators = 1},
              .estimate = kBatchTime,
              .gang = true});
    c.Plan(kBegin);
    CHECK(AllIn(c.WorkersOf("g"), tasks == 8 ? slow : fast));
  }

  SECTION("a job that is too late on any machine starts at once") {
    c.Run(kBegin, "full", kBatch, BatchStep(0), Each(all_fast, 4));
    c.Submit(kBegin, "u", kUrgent, UrgentGang());
    c.Plan(kBegin + 12s);
    CHECK(c.stops() == 0);
    CHECK(AllIn(c.WorkersOf("u"), slow));
    CHECK(c.WorkersOf("u").size() == kGang);
  }

  SECTION("a job waits 2 s at most with nothing running while half is idle") {
    c.Run(kBegin, "busy", kGangs, BatchStep(0), Each({0, 1, 3, 4}, 2));
    JobStep wide{
        .tasks = 6, .need = {.accelerators = 3}, .estimate = 10s, .gang = true};
    // Not enough fast workers have room; the slow ones could not take it
    // without the job being late.
    wide.tasks = 3;
    QueueTerms tight = kGangs;
    tight.stretch = 1;
    tight.target = 10s;
    c.Run(kBegin, "rest", kGangs, BatchStep(0), Each({6, 7}, 2));
    const Time at = kBegin + 5s;
    c.Submit(at, "g", tight, wide);
    c.Plan(at);
    CHECK(c.WorkersOf("g").size() == 3);
    CHECK(AllIn(c.WorkersOf("g"), slow));
  }
}

TEST_CASE("machines of unknown speed", "[dispatcher][speed]") {
  // Worker 1 is unknown, worker 2 slow.
  Cluster c({1, 0, kSlow, 1});
  const JobStep urgent{.tasks = 3,
                       .need = {.accelerators = 1},
                       .estimate = kUrgentTime,
                       .gang = true};

  SECTION("urgent work takes them after known fast ones") {
    c.Run(kBegin, "b", kUrgent, BatchStep(0), {1});
    c.Submit(kBegin, "u", kUrgent, urgent);
    c.Plan(kBegin);
    CHECK(AllIn(c.WorkersOf("u"), {0, 3}));
  }

  SECTION("and before slow ones") {
    c.Run(kBegin, "b", kUrgent, BatchStep(0), Each({0, 3}, 4));
    c.Submit(kBegin, "u", kUrgent, urgent);
    c.Plan(kBegin);
    CHECK(AllIn(c.WorkersOf("u"), {1}));
  }

  SECTION("batch work with slack takes them before known fast ones") {
    c.Submit(kBegin, "b", kBatch, BatchStep(8));
    c.Plan(kBegin);
    CHECK(c.WorkersOf("b") == Each({1, 2}, 4));
  }
}

TEST_CASE("racks and slow machines", "[dispatcher][speed]") {
  // Two racks of three workers.
  Cluster c({1, kSlow, 1, 1, 1, 1}, 3);
  const JobStep in_rack{.tasks = 9,
                        .need = {.accelerators = 1},
                        .estimate = kUrgentTime,
                        .gang = true,
                        .same_rack = true};

  SECTION("a gang takes the rack without slow machines") {
    // The other one has less free capacity.
    c.Run(kBegin, "b", kUrgent, BatchStep(0), {0});
    c.Submit(kBegin, "u", kUrgent, in_rack);
    c.Plan(kBegin);
    CHECK(AllIn(c.WorkersOf("u"), {3, 4, 5}));
  }

  SECTION("a rack with a slow member is better than two racks") {
    c.Run(kBegin, "b", kUrgent, BatchStep(0), Each({3}, 4));
    c.Submit(kBegin, "u", kUrgent, in_rack);
    c.Plan(kBegin + 5s);
    CHECK(c.WorkersOf("u").size() == 9);
    CHECK(AllIn(c.WorkersOf("u"), {0, 1, 2}));
  }

  SECTION(
      "a slow machine beside the data is better than a fast one elsewhere") {
    c.Run(kBegin, "b", kUrgent, BatchStep(0), Each({0, 2}, 4));
    c.Submit(kBegin, "u", kUrgent,
             {.need = {.accelerators = 1},
              .estimate = kUrgentTime,
              .data_rack = "r0"});
    c.Plan(kBegin + 5s);
    CHECK(c.WorkersOf("u") == std::vector<int>{1});
  }
}

// Guards against a guaranteed start that a long estimate delays beyond its
// bound.
TEST_CASE("a guaranteed unit waits for its data's rack for a bounded time",
          "[dispatcher][guarantee]") {
  Cluster c({1, 1}, 1);
  c.Run(kBegin, "full", kUrgent, BatchStep(0), Each({0}, 4));
  c.Submit(kBegin, "u", kUrgent,
           {.need = {.accelerators = 1}, .estimate = 60s, .data_rack = "r0"},
           "guaranteed");
  c.Plan(kBegin);
  CHECK(c.WorkersOf("u").empty());
  c.Plan(kBegin + 1200ms);
  CHECK(c.WorkersOf("u") == std::vector<int>{1});
}

// Guards against reservations on slow workers that a gang would then not take.
TEST_CASE("a reserved gang counts on workers where it ends soonest",
          "[dispatcher][speed][reservation]") {
  Cluster c({1, 1, kSlow, kSlow});
  c.Run(kBegin, "fast", kGangs, BatchStep(0), Each({0, 1}, 4));
  c.Run(kBegin - 9s, "slow", kGangs, BatchStep(0), Each({2, 3}, 4));
  // At kBegin + 5 s, both are expected to be free in 3 to 4 s.
  QueueTerms tight = kGangs;
  tight.stretch = 1;
  tight.target = 5s;
  c.Submit(kBegin + 5s, "g", tight,
           {.tasks = 8,
            .need = {.accelerators = 1},
            .estimate = kBatchTime,
            .gang = true});
  c.Plan(kBegin + 5s);
  REQUIRE(c.trace().reservations.size() == 1);
  CHECK(c.trace().reservations[0].start_at == kBegin + kBatchTime);
  CHECK(c.trace().reservations[0].workers == 2);
}

}  // namespace
}  // namespace marjoramplank
