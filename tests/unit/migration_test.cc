#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/support/dispatch_cluster.h"

namespace marjoramplank {
namespace {

constexpr int kWorkers = 12;
constexpr int kFirstSlow = 8;  // The last third.
constexpr double kSlowness = 2.2;
constexpr Duration kRunTime = 8s;

std::vector<double> OneThirdSlow() {
  std::vector<double> out(kWorkers, 1);
  std::fill(out.begin() + kFirstSlow, out.end(), kSlowness);
  return out;
}

// A task that needs a whole worker. Its job is late on a slow one: its deadline
// is 1.5 x 8 s + 1 s after it was submitted, and it takes 17.6 s there.
JobRequest Render(const std::string& id, JobStep step = {}) {
  step.need = {.accelerators = 8};
  step.estimate = kRunTime;
  JobRequest out = DispatchCluster::Job(id, 1, step);
  out.terms.stretch = 1.5;
  return out;
}

JobRequest SavingRender(const std::string& id) {
  return Render(id, {.checkpoints = true});
}

void SubmitAndStart(DispatchCluster& cluster, const std::string& id, int on) {
  REQUIRE(cluster.SubmitAndStart(SavingRender(id), on));
}

std::vector<RunStopped> Migrated(const DispatchCluster::Plan& plan) {
  std::vector<RunStopped> out;
  for (const RunStopped& stop : plan.stops) {
    if (stop.cause == StopCause::kMigrated) {
      out.push_back(stop);
    }
  }
  return out;
}

// Keeps the workers busy for the time of the test.
void Occupy(DispatchCluster& cluster, const std::vector<int>& workers) {
  for (const int n : workers) {
    JobRequest job = DispatchCluster::Job(
        "serves" + std::to_string(n), 2,
        {.need = {.accelerators = 8}, .long_running = true});
    REQUIRE(cluster.SubmitAndStart(job, n));
  }
}

TEST_CASE("two thirds of the workers fast, one third slow", "[migration]") {
  DispatchCluster cluster(kWorkers);
  cluster.Teach(OneThirdSlow(), kRunTime, 4, "q1");

  SECTION("a run that saves checkpoints, on a slow worker") {
    SubmitAndStart(cluster, "render", kFirstSlow);
    cluster.Advance(3s);
    const auto plan = cluster.MakePlan();
    REQUIRE(Migrated(plan).size() == 1);
    CHECK(plan.trace.migrations[0].slowness_here > 2);
    CHECK(plan.trace.migrations[0].remaining_here >
          plan.trace.migrations[0].remaining_there + 1s);

    SECTION("goes on where it ends sooner") {
      cluster.Advance(300ms);
      cluster.EndStoppedRuns("17%");
      const auto next = cluster.MakePlan();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].checkpoint == "17%");
      SECTION("and is not moved again") {
        cluster.Advance(900ms);
        CHECK(cluster.Unit({.job = "render"}).migrations == 1);
        CHECK(Migrated(cluster.MakePlan()).empty());
        cluster.Advance(5s);
        CHECK(Migrated(cluster.MakePlan()).empty());
      }
    }
    SECTION("keeps its new place from work of a lower priority") {
      // One free fast worker is left.
      Occupy(cluster, {0, 1, 2, 3, 4, 5, 6});
      Occupy(cluster, {9, 10, 11});
      cluster.Submit(DispatchCluster::Job(
          "batch", 2, {.need = {.accelerators = 8}, .estimate = kRunTime}));
      CHECK(cluster.MakePlan().starts.empty());
      SECTION("not from guaranteed work") {
        cluster.Submit(DispatchCluster::Guaranteed(
            "guaranteed", {.need = {.accelerators = 8}, .estimate = 2s}));
        const auto next = cluster.MakePlan();
        REQUIRE(next.starts.size() == 1);
        CHECK(next.starts[0].first.job == "guaranteed");
      }
    }
    SECTION("starts anew if its checkpoint never came") {
      cluster.Advance(900ms);
      cluster.EndStoppedRuns("");
      const auto next = cluster.MakePlan();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].checkpoint.empty());
      cluster.Advance(5s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("is started by the next planner") {
      REQUIRE(cluster.ReplacePlanner());
      CHECK(cluster.MakePlan().stops.empty());
      cluster.EndStoppedRuns();
      CHECK(cluster.Unit({.job = "render"}).migrations == 1);
      CHECK(cluster.MakePlan().starts.size() == 1);
    }
    SECTION("starts elsewhere if its worker is lost meanwhile") {
      cluster.Lose(kFirstSlow);
      const auto next = cluster.MakePlan();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].members[0].incarnation !=
            DispatchCluster::Incarnation(kFirstSlow));
    }
  }

  SECTION("no task is stopped and started in one plan") {
    for (int n = kFirstSlow; n < kWorkers; ++n) {
      SubmitAndStart(cluster, "render" + std::to_string(n), n);
    }
    cluster.Advance(3s);
    const auto plan = cluster.MakePlan();
    CHECK(plan.stops.size() == 4);
    CHECK(plan.starts.empty());
    CHECK(plan.all_applied);
  }

  SECTION("no more than four in a plan, and no more than fit") {
    DispatchCluster wide(20);
    std::vector<double> slowness(20, 1);
    std::fill(slowness.begin() + 14, slowness.end(), kSlowness);
    wide.Teach(slowness, kRunTime, 4, "q1");
    for (int n = 14; n < 20; ++n) {
      SubmitAndStart(wide, "render" + std::to_string(n), n);
    }
    wide.Advance(3s);
    SECTION("fourteen fast workers are free") {
      CHECK(Migrated(wide.MakePlan()).size() == 4);
      CHECK(Migrated(wide.MakePlan()).size() == 2);
    }
    SECTION("two are") {
      Occupy(wide, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11});
      CHECK(Migrated(wide.MakePlan()).size() == 2);
      CHECK(Migrated(wide.MakePlan()).empty());
    }
  }

  SECTION("a run stays") {
    SECTION("if it is nearly done") {
      SubmitAndStart(cluster, "render", kFirstSlow);
      cluster.Advance(14s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if its job is on time all the same") {
      JobRequest job = SavingRender("render");
      job.terms.stretch = 3;
      REQUIRE(cluster.SubmitAndStart(job, kFirstSlow));
      cluster.Advance(3s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if it is slow for its own size, on a fast worker") {
      SubmitAndStart(cluster, "render", 0);
      cluster.Advance(3s);
      cluster.Apply(RunObserved{.incarnation = DispatchCluster::Incarnation(0),
                                .task = {.job = "render"},
                                .run = 1,
                                .percent = 5,
                                .projected_run_time = 56s});
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if no fast worker is free") {
      SubmitAndStart(cluster, "render", kFirstSlow);
      Occupy(cluster, {0, 1, 2, 3, 4, 5, 6, 7});
      cluster.Advance(3s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if a waiting gang of its priority wants the fast workers") {
      SubmitAndStart(cluster, "render", kFirstSlow);
      Occupy(cluster, {0, 1, 2, 3, 4, 5, 9, 10, 11});
      cluster.Submit(Render("waits", {.tasks = 3, .gang = true}));
      cluster.Advance(3s);
      const auto plan = cluster.MakePlan();
      CHECK(plan.starts.empty());
      CHECK(Migrated(plan).empty());
    }
    SECTION("for 3 s after a stop") {
      SubmitAndStart(cluster, "render", kFirstSlow);
      cluster.Apply(
          RunStopped{.epoch = 1, .first = {.job = "render"}, .run = 1});
      cluster.EndStoppedRuns();
      REQUIRE(cluster.Start({.job = "render"}, {kFirstSlow}));
      cluster.Advance(2900ms);
      CHECK(Migrated(cluster.MakePlan()).empty());
      cluster.Advance(200ms);
      CHECK(Migrated(cluster.MakePlan()).size() == 1);
    }
    SECTION("if it has been moved before") {
      JobRequest job = SavingRender("render");
      job.terms.stretch = 2.2;
      REQUIRE(cluster.SubmitAndStart(job, kFirstSlow));
      cluster.Advance(3s);
      REQUIRE(Migrated(DispatchCluster(cluster).MakePlan()).size() == 1);
      cluster.Apply(RunStopped{.epoch = 1,
                               .first = {.job = "render"},
                               .run = 1,
                               .cause = StopCause::kMigrated});
      cluster.EndStoppedRuns();
      REQUIRE(cluster.Start({.job = "render"}, {kFirstSlow + 1}));
      cluster.Advance(3500ms);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if it lasts") {
      JobRequest job = SavingRender("serves");
      job.steps[0].long_running = true;
      REQUIRE(cluster.SubmitAndStart(job, kFirstSlow));
      cluster.Advance(3s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("if it is being stopped for another cause") {
      SubmitAndStart(cluster, "render", kFirstSlow);
      cluster.Advance(3s);
      cluster.Apply(
          RunObserved{.incarnation = DispatchCluster::Incarnation(kFirstSlow),
                      .task = {.job = "render"},
                      .run = 1,
                      .percent = 5,
                      .stalled = true});
      const auto plan = cluster.MakePlan();
      REQUIRE(plan.stops.size() == 1);
      CHECK(plan.stops[0].cause == StopCause::kStalled);
    }
  }

  SECTION("a run that saves no checkpoint") {
    std::vector<double> slowness(kWorkers, 1);
    std::fill(slowness.begin() + kFirstSlow, slowness.end(), 4.0);
    DispatchCluster very_slow(kWorkers);
    very_slow.Teach(slowness, kRunTime, 4, "q1");
    REQUIRE(very_slow.SubmitAndStart(Render("render"), kFirstSlow));
    SECTION("moves while it has done less than a tenth") {
      very_slow.Advance(1s);
      CHECK(Migrated(very_slow.MakePlan()).size() == 1);
    }
    SECTION("stays later") {
      very_slow.Advance(4s);
      CHECK(Migrated(very_slow.MakePlan()).empty());
    }
    SECTION("stays if less than half of its time is saved") {
      REQUIRE(cluster.SubmitAndStart(Render("render"), kFirstSlow));
      cluster.Advance(500ms);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
  }

  // Guards against a gang that ends late because of one of its members.
  SECTION("a gang of five with one member on a slow worker") {
    REQUIRE(cluster.ledger().FindWorker(DispatchCluster::Incarnation(0)));
    cluster.Submit(
        Render("gang", {.tasks = 5, .gang = true, .checkpoints = true}));
    REQUIRE(cluster.Start({.job = "gang"}, {0, 1, 2, 3, kFirstSlow}));
    cluster.Advance(3s);
    SECTION("moves as a whole, to its fast workers and a free one") {
      const auto plan = cluster.MakePlan();
      REQUIRE(Migrated(plan).size() == 1);
      CHECK(plan.trace.migrations[0].slowness_here > 2);
      CHECK(plan.trace.migrations[0].slowness_there < 1.1);
      cluster.EndStoppedRuns();
      CHECK(cluster.MakePlan().starts.size() == 1);
    }
    SECTION("stays if another member would be on a slow one") {
      Occupy(cluster, {4, 5, 6, 7});
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
    SECTION("stays if a member on a fast worker is slow for its own size") {
      const auto observe = [&](int index, int worker, Duration projected) {
        cluster.Apply(RunObserved{
            .incarnation = DispatchCluster::Incarnation(worker),
            .task = {.job = "gang", .index = index},
            .run = 1,
            .percent = static_cast<std::int32_t>(3s * 100 / projected),
            .projected_run_time = projected});
      };
      for (const int n : {1, 2, 3}) {
        observe(n, n, kRunTime);
      }
      observe(4, kFirstSlow, 17600ms);
      REQUIRE(Migrated(DispatchCluster(cluster).MakePlan()).size() == 1);
      observe(0, 0, 56s);
      CHECK(Migrated(cluster.MakePlan()).empty());
    }
  }
}

TEST_CASE("little is known of the machines", "[migration]") {
  DispatchCluster cluster(kWorkers);

  SECTION("one sample of each") {
    cluster.Teach(OneThirdSlow(), kRunTime, 1, "q1");
    SubmitAndStart(cluster, "render", kFirstSlow);
    cluster.Advance(3s);
    CHECK(Migrated(cluster.MakePlan()).empty());
  }
  SECTION("none of the queue's run times") {
    cluster.Teach(OneThirdSlow(), kRunTime, 4, "another");
    SubmitAndStart(cluster, "render", kFirstSlow);
    cluster.Advance(3s);
    CHECK(Migrated(cluster.MakePlan()).empty());
    SECTION("until the run's own progress tells them") {
      for (const int n : {0, 1}) {
        cluster.Apply(
            RunObserved{.incarnation = DispatchCluster::Incarnation(kFirstSlow),
                        .task = {.job = "render"},
                        .run = 1,
                        .percent = 17 + n,
                        .projected_run_time = 17600ms});
      }
      CHECK(Migrated(cluster.MakePlan()).size() == 1);
    }
  }
  // Guards against a unit that wrong beliefs move to and fro.
  SECTION("what is believed is the reverse of what is true") {
    std::vector<double> believed(kWorkers, kSlowness);
    std::fill(believed.begin() + kFirstSlow, believed.end(), 1.0);
    cluster.Teach(believed, kRunTime, 4, "q1");
    SubmitAndStart(cluster, "render", 0);
    int migrations = 0;
    for (int n = 0; n < 100; ++n) {
      cluster.Advance(200ms);
      migrations += static_cast<int>(Migrated(cluster.MakePlan()).size());
      cluster.EndStoppedRuns();
    }
    CHECK(migrations <= 1);
  }
}

TEST_CASE("the cause of a stop on the wire", "[migration]") {
  CHECK(std::string(ToString(StopCause::kMigrated)) == "migrated");
  // Of a later version.
  CHECK(std::string(ToString(static_cast<StopCause>(200))) == "unknown");

  DispatchCluster cluster(1);
  SubmitAndStart(cluster, "render", 0);
  SECTION("a cause that is not known stops the run, and counts for nothing") {
    CHECK(cluster.Apply(RunStopped{.epoch = 1,
                                   .first = {.job = "render"},
                                   .run = 1,
                                   .cause = static_cast<StopCause>(200)}));
    CHECK(cluster.Unit({.job = "render"}).stop_requested);
    CHECK(cluster.Unit({.job = "render"}).migrations == 0);
    CHECK(cluster.Unit({.job = "render"}).displacements == 0);
  }
  SECTION("the next planner knows the projected time of a run") {
    const auto projected = [&] {
      return cluster.ledger()
          .FindWorker(DispatchCluster::Incarnation(0))
          ->runs.at({.job = "render"})
          .projected_run_time;
    };
    RunObserved seen{.incarnation = DispatchCluster::Incarnation(0),
                     .task = {.job = "render"},
                     .run = 1,
                     .percent = 20,
                     .projected_run_time = 9s};
    cluster.Apply(seen);
    CHECK(projected() == 9s);
    // One without it, and one that is implausible, change nothing.
    for (const Duration wrong : {Duration(0), Duration(-1), kMaxDuration * 2}) {
      seen.projected_run_time = wrong;
      cluster.Apply(seen);
      CHECK(projected() == 9s);
    }
    REQUIRE(cluster.ReplacePlanner());
    CHECK(projected() == 9s);
  }
  SECTION("a repeated stop counts once") {
    const RunStopped stop{.epoch = 1,
                          .first = {.job = "render"},
                          .run = 1,
                          .cause = StopCause::kMigrated};
    cluster.Apply(stop);
    cluster.Apply(stop);
    CHECK(cluster.Unit({.job = "render"}).migrations == 1);
  }
}

}  // namespace
}  // namespace marjoramplank
