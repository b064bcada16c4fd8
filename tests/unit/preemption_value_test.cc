#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

#include "tests/support/dispatch_cluster.h"

namespace marjoramplank {
namespace {

constexpr int kWorkers = 12;
constexpr int kTasksPerWorker = 8;
constexpr Duration kBatchTime = 8s;
constexpr Duration kUrgentTime = 2s;

std::set<std::string> StoppedJobs(const DispatchCluster::Plan& plan) {
  std::set<std::string> out;
  for (const RunStopped& stop : plan.stops) {
    out.insert(stop.first.job);
  }
  return out;
}

std::vector<PreemptionVerdict> Verdicts(const DispatchCluster::Plan& plan) {
  std::vector<PreemptionVerdict> out;
  for (const auto& declined : plan.trace.declined_preemptions) {
    out.push_back(declined.verdict);
  }
  return out;
}

JobStep BatchStep(std::int32_t tasks, bool checkpoints = false) {
  return {.tasks = tasks,
          .need = {.accelerators = 1},
          .estimate = kBatchTime,
          .checkpoints = checkpoints};
}

JobStep UrgentGang(std::int32_t tasks, std::int64_t accelerators) {
  return {.tasks = tasks,
          .need = {.accelerators = accelerators},
          .estimate = kUrgentTime,
          .gang = true};
}

std::string BatchName(int worker) {
  return "batch" + std::to_string(worker);
}

// Fills the worker with single tasks of one job, which start now.
void FillWithBatch(DispatchCluster& cluster,
                   int worker,
                   bool checkpoints = false) {
  const std::string id = BatchName(worker);
  cluster.Submit(
      DispatchCluster::Job(id, 2, BatchStep(kTasksPerWorker, checkpoints)));
  for (int n = 0; n < kTasksPerWorker; ++n) {
    REQUIRE(cluster.Start({.job = id, .index = n}, {worker}));
  }
}

// Other jobs have taken the time that batch jobs declare.
void TeachBatchTime(DispatchCluster& cluster) {
  cluster.Teach(std::vector<double>(kWorkers, 1), kBatchTime, 4, "q2");
}

void FillAllWithBatch(DispatchCluster& cluster) {
  for (int n = 0; n < kWorkers; ++n) {
    FillWithBatch(cluster, n);
  }
}

TEST_CASE("twelve full workers of batch, an urgent gang of five",
          "[preemption][value]") {
  DispatchCluster cluster(kWorkers);

  // Guards against runs that are stopped right before they end.
  SECTION("runs that end within the time of a stop are waited for") {
    TeachBatchTime(cluster);
    FillAllWithBatch(cluster);
    cluster.Advance(7500ms);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.empty());
    CHECK(plan.starts.empty());
    SECTION("and what they free is the gang's") {
      cluster.EndRuns([](const LiveRun&) { return true; }, TaskOutcome::kDone);
      const auto next = cluster.MakePlan();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].first.job == "urgent");
    }
    SECTION("unless they last longer than they should") {
      cluster.Advance(400ms);
      for (int n = 0; n < kWorkers; ++n) {
        for (int t = 0; t < kTasksPerWorker; ++t) {
          cluster.Apply(
              RunObserved{.incarnation = DispatchCluster::Incarnation(n),
                          .task = {.job = BatchName(n), .index = t},
                          .run = 1,
                          .percent = 16,
                          .projected_run_time = 50s});
        }
      }
      CHECK(cluster.MakePlan().stops.size() == 5);
    }
  }

  // Guards against runs that are nearly done being stopped for one that would
  // meet its objective without it.
  SECTION("a gang that meets its objective with what ends soon waits") {
    TeachBatchTime(cluster);
    FillAllWithBatch(cluster);
    cluster.Advance(7s);
    // Its objective of 6,300 ms leaves 4,300 ms for a wait of about 1 s: enough
    // although ends are uncertain.
    JobRequest urgent = DispatchCluster::Job("urgent", 0, UrgentGang(5, 1));
    urgent.terms.stretch = 3;
    cluster.Submit(urgent);
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.empty());
    CHECK(Verdicts(plan) == std::vector{PreemptionVerdict::kCanWait});
    SECTION("but not a second one that finds too little then") {
      cluster.Submit(DispatchCluster::Job("wide", 0, UrgentGang(90, 1)));
      const auto next = cluster.MakePlan();
      CHECK(Verdicts(next).size() == 2);
    }
  }

  // Guards against urgent work that waits for runs whose declared times are
  // wrong.
  SECTION("declared times alone are not counted on") {
    FillAllWithBatch(cluster);
    cluster.Advance(7500ms);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    CHECK(cluster.MakePlan().stops.size() == 5);
  }

  SECTION("young runs are displaced, not old ones") {
    for (int n = 0; n < kWorkers - 1; ++n) {
      FillWithBatch(cluster, n);
    }
    cluster.Advance(5s);
    FillWithBatch(cluster, kWorkers - 1);
    cluster.Advance(200ms);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.size() == 5);
    CHECK(StoppedJobs(plan) == std::set<std::string>{BatchName(kWorkers - 1)});
    REQUIRE_FALSE(plan.trace.preemptions.empty());
    CHECK(plan.trace.preemptions[0].gain > plan.trace.preemptions[0].loss);
  }

  SECTION("runs that save a checkpoint are displaced, not others") {
    FillWithBatch(cluster, 0, /*checkpoints=*/true);
    for (int n = 1; n < kWorkers; ++n) {
      FillWithBatch(cluster, n);
    }
    cluster.Advance(3s);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    CHECK(StoppedJobs(cluster.MakePlan()) ==
          std::set<std::string>{BatchName(0)});
  }

  SECTION("runs on a slow machine have done less, and are displaced first") {
    std::vector<double> slowness(kWorkers, 1);
    slowness[3] = 2.2;
    cluster.Teach(slowness, kBatchTime, 4, "q2");
    FillAllWithBatch(cluster);
    cluster.Advance(3s);
    JobRequest urgent = DispatchCluster::Job("urgent", 0, UrgentGang(5, 1));

    SECTION("if the gang can end in time there") {
      urgent.terms.stretch = 2.4;  // 4.4 s on it; batch ends in 5 s.
      cluster.Submit(urgent);
      CHECK(StoppedJobs(cluster.MakePlan()) ==
            std::set<std::string>{BatchName(3)});
    }

    SECTION("but a gang that would be late there takes one fast machine") {
      cluster.Submit(urgent);
      const auto plan = cluster.MakePlan();
      CHECK(plan.stops.size() == 5);
      CHECK(StoppedJobs(plan).size() == 1);
      CHECK_FALSE(StoppedJobs(plan).contains(BatchName(3)));
    }
  }

  SECTION("a gang that cannot earn any credit displaces nobody") {
    FillAllWithBatch(cluster);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    JobRequest guaranteed =
        DispatchCluster::Guaranteed("guaranteed", UrgentGang(5, 1));
    cluster.Advance(11s);
    for (int n = 0; n < kWorkers; ++n) {
      for (int t = 0; t < kTasksPerWorker; ++t) {
        cluster.Apply(
            RunObserved{.incarnation = DispatchCluster::Incarnation(n),
                        .task = {.job = BatchName(n), .index = t},
                        .run = 1,
                        .percent = 22,
                        .projected_run_time = 50s});
      }
    }
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.empty());
    CHECK(Verdicts(plan) == std::vector{PreemptionVerdict::kNoCredit});
    SECTION("unless it is guaranteed") {
      cluster.Submit(guaranteed);
      cluster.Advance(11s);
      CHECK(cluster.MakePlan().stops.size() == 5);
    }
  }

  SECTION("one stop that is as cheap as several is preferred") {
    for (int n = 0; n < kWorkers - 1; ++n) {
      FillWithBatch(cluster, n);
    }
    JobStep large = BatchStep(1);
    large.need.accelerators = 5;
    cluster.SubmitAndStart(DispatchCluster::Job("large", 2, large),
                           kWorkers - 1);
    JobStep rest = BatchStep(1);
    rest.need.accelerators = 3;
    cluster.SubmitAndStart(DispatchCluster::Job("rest", 2, rest), kWorkers - 1);
    cluster.Advance(1s);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 1)));
    CHECK(StoppedJobs(cluster.MakePlan()) == std::set<std::string>{"large"});
  }

  SECTION("members that need a whole worker cost too many stops") {
    FillAllWithBatch(cluster);
    cluster.Advance(1s);
    cluster.Submit(DispatchCluster::Job("urgent", 0, UrgentGang(5, 8)));
    const auto limited = cluster.MakePlan();
    CHECK(limited.stops.empty());
    CHECK(Verdicts(limited) == std::vector{PreemptionVerdict::kTooManyStops});
    SECTION("so that a place is kept for them") {
      REQUIRE(limited.trace.reservations.size() == 1);
      CHECK(limited.trace.reservations[0].gang.job == "urgent");
    }
    SECTION("which does not keep guaranteed work from its capacity") {
      cluster.Submit(
          DispatchCluster::Guaranteed("guaranteed", UrgentGang(5, 8)));
      const auto plan = cluster.MakePlan();
      CHECK(plan.stops.size() == 40);
      cluster.Advance(900ms);
      cluster.EndStoppedRuns();
      const auto next = cluster.MakePlan();
      REQUIRE_FALSE(next.starts.empty());
      CHECK(next.starts[0].first.job == "guaranteed");
    }
  }

  SECTION("many gangs together stop no more than a plan may") {
    FillAllWithBatch(cluster);
    cluster.Advance(1s);
    for (int n = 0; n < 12; ++n) {
      cluster.Submit(DispatchCluster::Job("urgent" + std::to_string(n), 0,
                                          UrgentGang(5, 1)));
    }
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.size() == 30);
    CHECK(plan.all_applied);
  }

  SECTION("a gang that would exceed the limit of a plan waits as a whole") {
    FillAllWithBatch(cluster);
    cluster.Advance(1s);
    for (int n = 0; n < 12; ++n) {
      cluster.Submit(DispatchCluster::Job("urgent" + std::to_string(n), 0,
                                          UrgentGang(4, 1)));
    }
    CHECK(cluster.MakePlan().stops.size() == 28);
    CHECK(cluster.MakePlan().stops.size() == 20);
  }

  SECTION("displaced units are spared") {
    DispatchCluster one(1);
    one.SubmitAndStart(
        DispatchCluster::Job("batch", 2,
                             {.need = {.accelerators = 8}, .estimate = 60s}),
        0);
    std::vector<Time> displaced_at;
    for (int n = 0; n < 400; ++n) {
      one.Advance(100ms);
      if (n % 5 == 0) {
        one.Submit(DispatchCluster::Job(
            "urgent" + std::to_string(n), 0,
            {.need = {.accelerators = 8}, .estimate = 100ms}));
      }
      const auto plan = one.MakePlan();
      REQUIRE(plan.all_applied);
      for (const RunStopped& stop : plan.stops) {
        CHECK(stop.first.job == "batch");
        displaced_at.push_back(one.now());
      }
      one.EndStoppedRuns();
      // Urgent runs end by the next plan.
      for (int u = 0; u <= n; u += 5) {
        one.Apply(TaskEnded{.incarnation = DispatchCluster::Incarnation(0),
                            .task = {.job = "urgent" + std::to_string(u)},
                            .run = 1,
                            .outcome = TaskOutcome::kDone});
      }
    }
    // Guards against a batch run that never ends while urgent jobs arrive.
    REQUIRE(displaced_at.size() == 2);
    CHECK(displaced_at[1] - displaced_at[0] >= 3s);
    CHECK(one.Unit({.job = "batch"}).displacements == 2);

    SECTION("also by a planner that has just taken over") {
      REQUIRE(one.ReplacePlanner());
      CHECK(one.Unit({.job = "batch"}).displacements == 2);
      one.Advance(4s);
      one.Submit(DispatchCluster::Job(
          "late", 0, {.need = {.accelerators = 8}, .estimate = 100ms}));
      CHECK(one.MakePlan().stops.empty());
    }
    SECTION("but not by guaranteed work") {
      one.Advance(100ms);
      one.Submit(DispatchCluster::Guaranteed(
          "guaranteed", {.need = {.accelerators = 8}, .estimate = 100ms}));
      CHECK(StoppedJobs(one.MakePlan()) == std::set<std::string>{"batch"});
    }
  }
}

// Guards against 30 tasks being stopped where a few would do.
TEST_CASE("one plan stopped about 30 batch tasks for one guaranteed job",
          "[preemption][value]") {
  DispatchCluster cluster(8);
  for (int n = 0; n < 4; ++n) {
    FillWithBatch(cluster, n);
  }
  for (int n = 4; n < 8; ++n) {
    JobStep whole = BatchStep(1);
    whole.need.accelerators = 8;
    cluster.SubmitAndStart(
        DispatchCluster::Job("whole" + std::to_string(n), 2, whole), n);
  }
  SECTION("it stops the four that cost the same") {
    cluster.Advance(2s);
    cluster.Submit(DispatchCluster::Guaranteed("guaranteed", UrgentGang(4, 8)));
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.size() == 4);
    CHECK(StoppedJobs(plan) ==
          std::set<std::string>{"whole4", "whole5", "whole6", "whole7"});
  }
  SECTION("a worker is lost before they have stopped") {
    cluster.Advance(2s);
    cluster.Submit(DispatchCluster::Guaranteed("guaranteed", UrgentGang(4, 8)));
    REQUIRE(cluster.MakePlan().stops.size() == 4);
    cluster.Lose(4);
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.size() == 8);  // One more worker.
    cluster.EndStoppedRuns();
    const auto next = cluster.MakePlan();
    REQUIRE_FALSE(next.starts.empty());
    CHECK(next.starts[0].first.job == "guaranteed");
  }
  SECTION("the planner is replaced before they have stopped") {
    cluster.Advance(2s);
    cluster.Submit(DispatchCluster::Guaranteed("guaranteed", UrgentGang(4, 8)));
    REQUIRE(cluster.MakePlan().stops.size() == 4);
    REQUIRE(cluster.ReplacePlanner());
    CHECK(cluster.MakePlan().stops.empty());
    cluster.EndStoppedRuns();
    const auto next = cluster.MakePlan();
    REQUIRE_FALSE(next.starts.empty());
    CHECK(next.starts[0].first.job == "guaranteed");
  }
}

TEST_CASE("a gang on several workers is stopped once", "[preemption][value]") {
  DispatchCluster cluster(4);
  JobStep gang = UrgentGang(4, 8);
  gang.estimate = kBatchTime;
  cluster.Submit(DispatchCluster::Job("render", 1, gang));
  REQUIRE(cluster.Start({.job = "render"}, {0, 1, 2, 3}));
  cluster.Advance(1s);
  cluster.Submit(DispatchCluster::Guaranteed("guaranteed", UrgentGang(4, 8)));
  const auto plan = cluster.MakePlan();
  REQUIRE(plan.stops.size() == 1);
  // 4 members x 8 accelerators x 8 cores x 1 s, not four times that.
  CHECK(plan.trace.preemptions[0].lost_core_seconds == Approx(256));
  cluster.EndStoppedRuns();
  CHECK(cluster.MakePlan().starts.size() == 1);
}

}  // namespace
}  // namespace marjoramplank
