#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <utility>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Time kBegin = 100s;
constexpr Duration kStep = 10ms;
constexpr std::int32_t kAccelerators = 4;  // Of each worker.
// Single tasks run for 1 s to kLongestRun; their estimate is the mean.
constexpr Duration kLongestRun = 2s;
constexpr Duration kEstimate = 1500ms;
// More than the workers finish in a minute.
constexpr std::int32_t kStream = 1200;

// Plans and executes the plans in virtual time: every task starts at once and
// ends after its run time.
class Cluster {
 public:
  explicit Cluster(int workers) : workers_(workers) {
    ledger_.Apply(now_, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < workers; ++n) {
      ledger_.Apply(
          now_, WorkerReported{.agent = "a" + std::to_string(n),
                               .incarnation = Worker(n),
                               .service = "s",
                               .data_centre = "d",
                               .rack = "r" + std::to_string(n / 4),
                               .capacity = {.accelerators = kAccelerators}});
    }
  }

  static WorkerIncarnation Worker(int n) {
    return {.id = "w" + std::to_string(n), .started_at_unix_ms = 1};
  }

  void Submit(const std::string& id,
              std::int32_t priority,
              const JobStep& step,
              Duration run_time = Duration(0)) {
    run_times_[id] = run_time;
    REQUIRE(ledger_.Apply(
        now_, JobSubmitted{.request = {.id = id,
                                       .account = "a",
                                       .payload = "p",
                                       .steps = {step},
                                       .terms = {.queue = "q",
                                                 .service = "s",
                                                 .priority = priority,
                                                 .max_attempts = 2,
                                                 .stretch = 3,
                                                 .target = 1s}}}));
  }

  void Advance(Duration d) {
    for (const Time until = now_ + d; now_ < until; now_ += kStep) {
      Step();
    }
  }

  // Advances until the job starts, but not by more than `limit`.
  bool StartsWithin(const std::string& id, Duration limit) {
    for (const Time until = now_ + limit; now_ < until; now_ += kStep) {
      Step();
      if (Started(id) > 0) {
        return true;
      }
    }
    return false;
  }

  int Started(const std::string& id) const {
    const auto it = started_.find(id);
    return it == started_.end() ? 0 : it->second;
  }

 private:
  struct Run {
    TaskRef task;
    std::int32_t run = 1;
    WorkerIncarnation on;
  };

  // Varies by task, so that the tasks of a worker do not end together.
  Duration RunTime(const TaskRef& task) const {
    const Duration given = run_times_.at(task.job);
    return given > Duration(0) ? given : 1s + 10ms * (task.index * 37 % 101);
  }

  void Step() {
    EndTasks();
    for (int n = 0; n < workers_; ++n) {
      ledger_.Apply(now_, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                         .process = "p",
                                         .heard_worker = Worker(n),
                                         .heard_ago = Duration(0)});
    }
    const RulesView rules;
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now_, .epoch = 1, .ledger = ledger_, .rules = rules})) {
      if (!ledger_.Apply(now_, r)) {
        continue;
      }
      if (const auto* start = std::get_if<RunStarted>(&r)) {
        Execute(*start);
      }
    }
  }

  void Execute(const RunStarted& start) {
    ++started_[start.first.job];
    for (const MemberPlace& m : start.members) {
      TaskRef task = start.first;
      task.index = m.index;
      ends_.emplace(now_ + RunTime(start.first),
                    Run{.task = task, .run = start.run, .on = m.incarnation});
    }
  }

  void EndTasks() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const Run run = ends_.begin()->second;
      ends_.erase(ends_.begin());
      ledger_.Apply(now_, TaskEnded{.incarnation = run.on,
                                    .end_number = ++end_numbers_[run.on],
                                    .task = run.task,
                                    .run = run.run,
                                    .outcome = TaskOutcome::kDone});
    }
  }

  const int workers_;
  Time now_ = kBegin;
  Ledger ledger_;
  std::map<std::string, Duration> run_times_;  // By job. 0: varies.
  std::map<std::string, int> started_;         // Units, by job.
  std::multimap<Time, Run> ends_;
  std::map<WorkerIncarnation, std::int64_t> end_numbers_;
};

JobStep Stream() {
  return {.tasks = kStream, .need = {.accelerators = 1}, .estimate = kEstimate};
}

JobStep WholeWorkers(std::int32_t count) {
  return {.tasks = count,
          .need = {.accelerators = kAccelerators},
          .estimate = 2s,
          .gang = true};
}

// Guards against wide gangs that never start while a stream of single tasks
// takes every accelerator that becomes free.
TEST_CASE("a gang that needs whole workers, beside a stream of single tasks",
          "[dispatcher][reservation]") {
  Cluster cluster(4);
  cluster.Submit("stream", 2, Stream());
  cluster.Advance(5s);

  SECTION("starts once the tasks that run at its submission have ended") {
    cluster.Submit("gang", 1, WholeWorkers(2), 2s);
    // Tasks of the stream are not expected to end before its start time, so
    // only those that run already can be on its workers.
    CHECK(cluster.StartsWithin("gang", kLongestRun + kStep));
  }

  SECTION("starts in the rack in which it runs fastest") {
    JobStep step = WholeWorkers(2);
    step.same_rack = true;
    cluster.Submit("gang", 1, step, 2s);
    CHECK(cluster.StartsWithin("gang", kLongestRun + kStep));
  }

  SECTION("leaves the other workers to the stream") {
    const int before = cluster.Started("stream");
    cluster.Submit("gang", 1, WholeWorkers(2), 10s);
    cluster.Advance(kLongestRun);
    // Each accelerator of the other two workers takes a task in this time.
    CHECK(cluster.Started("stream") - before >= 2 * kAccelerators);
  }

  SECTION("holds nothing if it can never fit") {
    const int before = cluster.Started("stream");
    cluster.Submit("gang", 1, WholeWorkers(5));
    cluster.Advance(kLongestRun);
    CHECK(cluster.Started("stream") - before >= 4 * kAccelerators);
  }
}

// Guards against reserved workers that stay idle although there is work that
// does not delay the gang.
TEST_CASE("units later in the order run on reserved workers",
          "[dispatcher][reservation]") {
  // Three of four workers are busy with tasks that last longer than estimated.
  Cluster cluster(4);
  for (int n = 0; n < 3; ++n) {
    const std::string id = "long" + std::to_string(n);
    cluster.Submit(
        id, 1, {.need = {.accelerators = kAccelerators}, .estimate = 20s}, 60s);
  }
  cluster.Advance(10s);
  JobStep gang = WholeWorkers(2);
  JobStep single{.need = {.accelerators = 1}, .estimate = 15s};

  SECTION("in the room that the gang leaves") {
    gang.need.accelerators = kAccelerators - 1;
    cluster.Submit("gang", 1, gang, 2s);
    single.tasks = 2;
    cluster.Submit("single", 2, single, 15s);
    cluster.Advance(1s);
    CHECK(cluster.Started("single") == 1);
  }

  SECTION("beside a gang that needs the whole worker") {
    // Expected to start when the first of the long tasks ends, in 10 s.
    cluster.Submit("gang", 1, gang, 2s);

    SECTION("not if they would delay it") {
      cluster.Submit("single", 2, single, 15s);
      CHECK_FALSE(cluster.StartsWithin("single", 1s));
    }

    SECTION("if they are expected to end by its start time") {
      single.estimate = 4s;
      cluster.Submit("single", 2, single, 4s);
      CHECK(cluster.StartsWithin("single", kStep));
    }

    SECTION("if they last until their job is cancelled") {
      single.long_running = true;
      cluster.Submit("single", 2, single, 60s);
      CHECK(cluster.StartsWithin("single", kStep));
    }

    SECTION("once the gang can no longer earn anything") {
      cluster.Submit("single", 2, single, 15s);
      // Its objective is 7 s; a late end earns credit until 21 s.
      CHECK(cluster.StartsWithin("single", 21s));
      CHECK(cluster.Started("gang") == 0);
    }
  }
}

// Guards against a job without a running task beside idle workers.
TEST_CASE("a job with nothing running does not wait for reserved workers",
          "[dispatcher][reservation]") {
  // Less than half of the accelerators are in use.
  Cluster cluster(8);
  for (int n = 0; n < 5; ++n) {
    const std::string id = "long" + std::to_string(n);
    cluster.Submit(id, 1, {.need = {.accelerators = 3}, .estimate = 20s}, 60s);
  }
  cluster.Advance(10s);
  cluster.Submit("gang", 1, WholeWorkers(4), 2s);
  cluster.Submit("wide", 2,
                 {.tasks = 4, .need = {.accelerators = 3}, .estimate = 15s},
                 15s);
  cluster.Advance(1s);
  CHECK(cluster.Started("wide") == 1);
}

}  // namespace
}  // namespace marjoramplank
