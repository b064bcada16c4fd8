#include <catch2/catch.hpp>

#include "tests/support/virtual_cluster.h"

namespace marjoramplank::testing {
namespace {

std::vector<AccountSpec> TwoAccounts() {
  return {{.name = "owner", .guarantees = {{.accelerators = 8, .count = 2}}},
          {.name = "guest"}};
}

TEST_CASE("Borrowed guaranteed capacity is reclaimed", "[planner]") {
  VirtualCluster cluster(PlannerOptions{},
                         MakeInventory(1, 1, 3, 8, TwoAccounts()));

  SECTION("jobs without a guarantee fill every worker and are preemptible") {
    for (int i = 0; i < 6; ++i) {
      JobSpec job = MakeJob("guest", 1, 4);
      job.checkpointable = i % 2 == 0;
      cluster.Submit("guest" + std::to_string(i), job);
    }
    cluster.Plan();
    REQUIRE(cluster.running().size() == 6);

    SECTION("the guaranteed account submits a job for both cells") {
      cluster.Submit("own", MakeJob("owner", 2, 8));
      cluster.Plan();
      // The victims are still stopping.
      CHECK_FALSE(cluster.running().contains("own"));
      cluster.CompleteStops();
      cluster.Plan();

      THEN(
          "the job starts after the victims have stopped, and the other jobs "
          "continue") {
        CHECK(cluster.running().contains("own"));
        CHECK(cluster.running().size() == 3);
        CHECK(cluster.faults().empty());
      }
    }
  }

  SECTION("a job that can be neither repeated nor resumed does not borrow") {
    JobSpec not_repeatable = MakeJob("guest", 3, 8);
    not_repeatable.idempotent = false;
    cluster.Submit("once", not_repeatable);
    cluster.Plan();
    CHECK(cluster.running().empty());
    CHECK(cluster.planner()
              .Explain(cluster.now() + 1s, "once")
              .summary.find("promised to nobody") != std::string::npos);
  }
}

TEST_CASE("A job that may not run twice starts in the cells of its account",
          "[planner]") {
  VirtualCluster cluster(PlannerOptions{},
                         MakeInventory(1, 1, 2, 8, TwoAccounts()));
  JobSpec not_repeatable = MakeJob("owner", 2, 8);
  not_repeatable.idempotent = false;
  cluster.Submit("once", not_repeatable);
  cluster.Plan();
  CHECK(cluster.running().contains("once"));
  CHECK(cluster.faults().empty());
}

TEST_CASE("An idle cell moves away from borrowers if it fits elsewhere",
          "[planner]") {
  VirtualCluster cluster(PlannerOptions{},
                         MakeInventory(1, 1, 3, 8, TwoAccounts()));
  cluster.Submit("guest", MakeJob("guest", 3, 8));
  cluster.Plan();
  cluster.Finish("guest", RunEnd::kSucceeded);
  // Borrows the capacity of at least one cell.
  cluster.Submit("guest2", MakeJob("guest", 2, 8));
  cluster.Plan();
  cluster.Submit("own", MakeJob("owner", 1, 8));
  cluster.Plan();
  CHECK(cluster.running().contains("own"));
  CHECK(cluster.planner().counters().reclaims == 0);
  CHECK(cluster.faults().empty());
}

TEST_CASE(
    "A block of adjacent accelerators is reclaimed from scattered borrowers",
    "[planner]") {
  // One worker with one cell of four accelerators. Single-accelerator jobs of
  // the other account leave scattered free accelerators behind.
  VirtualCluster cluster(
      PlannerOptions{},
      MakeInventory(
          1, 1, 1, 8,
          {{.name = "owner", .guarantees = {{.accelerators = 4, .count = 1}}},
           {.name = "guest"}}));
  for (int i = 0; i < 8; ++i) {
    cluster.Submit("g" + std::to_string(i), MakeJob("guest", 1, 1));
  }
  cluster.Plan();
  for (const int i : {0, 2, 4, 6}) {
    cluster.Finish("g" + std::to_string(i), RunEnd::kSucceeded);
  }
  cluster.Plan();
  REQUIRE(cluster.running().size() == 4);
  cluster.Submit("own", MakeJob("owner", 1, 4));
  cluster.Plan();
  cluster.CompleteStops();
  cluster.Plan();
  CHECK(cluster.running().contains("own"));
  CHECK(cluster.faults().empty());
}

TEST_CASE("A stream of small jobs does not starve a blocked gang",
          "[planner]") {
  VirtualCluster cluster(
      PlannerOptions{},
      MakeInventory(1, 2, 2, 8, {{.name = "a"}, {.name = "b"}}));
  int next_job = 0;
  const auto submit_small_job = [&] {
    JobSpec job = MakeJob("a", 1, 4);
    job.expected_run_time = 5min;
    job.idempotent = false;  // Cannot be moved for the gang.
    cluster.Submit("s" + std::to_string(next_job++), job);
  };
  for (int i = 0; i < 40; ++i) {
    submit_small_job();
  }
  cluster.Plan();
  cluster.Submit("large", MakeJob("b", 4, 8));
  Duration waited{0};
  // Small jobs end one at a time, and each is replaced by a new one.
  while (!cluster.running().contains("large") && waited < 2h) {
    cluster.Advance(40s);
    waited += 40s;
    for (const auto& [id, run] : cluster.running()) {
      cluster.Finish(id, RunEnd::kSucceeded);
      submit_small_job();
      break;
    }
    cluster.Plan();
  }
  CHECK(cluster.running().contains("large"));
  CHECK(waited <= 30min);
  CHECK(cluster.planner().counters().drains >= 1);
  CHECK(cluster.faults().empty());
}

TEST_CASE("An urgent job starts ahead of a burst", "[planner]") {
  VirtualCluster cluster(
      PlannerOptions{},
      MakeInventory(2, 2, 2, 8, {{.name = "a"}, {.name = "b"}}));
  for (int i = 0; i < 10'000; ++i) {
    cluster.Submit("s" + std::to_string(i), MakeJob("a", 1, 1));
  }
  cluster.Plan();
  const std::uint64_t heads_before =
      cluster.planner().counters().queue_heads_examined;
  JobSpec urgent = MakeJob("b", 2, 8);
  urgent.priority = Priority::kUrgent;
  cluster.Submit("urgent", urgent);
  cluster.Plan();
  cluster.CompleteStops();
  cluster.Plan();
  CHECK(cluster.running().contains("urgent"));
  // The queue is not scanned.
  CHECK(cluster.planner().counters().queue_heads_examined - heads_before < 100);
  CHECK(cluster.faults().empty());

  SECTION("cancelling every job does not scan the queue for each one") {
    const std::uint64_t passes_before = cluster.planner().counters().passes;
    for (int i = 0; i < 10'000; ++i) {
      cluster.Cancel("s" + std::to_string(i));
    }
    cluster.Plan();
    cluster.CompleteStops();
    cluster.Plan();
    CHECK(cluster.waiting().empty());
    CHECK(cluster.planner().counters().passes - passes_before <= 4);
    CHECK(cluster.faults().empty());
  }
}

TEST_CASE("A data centre is taken out of service and returned", "[planner]") {
  VirtualCluster cluster(PlannerOptions{},
                         MakeInventory(2, 1, 2, 8, {{.name = "a"}}));
  JobSpec movable = MakeJob("a", 1, 8);
  movable.checkpointable = true;
  JobSpec unmovable = MakeJob("a", 1, 8);
  unmovable.idempotent = false;
  cluster.Submit("staying", unmovable);
  cluster.Submit("moving", movable);
  cluster.Plan();
  REQUIRE(cluster.running().size() == 2);
  const std::string dc =
      cluster.inventory()
          .FindWorker(cluster.running().at("moving").placements[0].worker)
          ->data_centre;

  Inventory changed = cluster.inventory();
  for (DataCentreSpec& d : changed.data_centres) {
    d.out_of_service = d.name == dc;
  }
  cluster.SetInventory(changed);
  cluster.Plan();
  cluster.CompleteStops();
  cluster.Plan();

  SECTION("a checkpointable job has moved to the other data centre") {
    REQUIRE(cluster.running().contains("moving"));
    CHECK(cluster.inventory()
              .FindWorker(cluster.running().at("moving").placements[0].worker)
              ->data_centre != dc);
    CHECK(cluster.faults().empty());
  }
  SECTION(
      "other jobs are stopped after the grace period and end as may have run") {
    cluster.Advance(59s);
    CHECK_FALSE(cluster.running().at("staying").stopping);
    cluster.Advance(2s);
    CHECK(cluster.running().at("staying").stopping);
    cluster.CompleteStops();
    cluster.Plan();
    CHECK(cluster.ended().at("staying") == JobState::kMayHaveRun);
  }
  SECTION("after its return it takes load gradually") {
    for (int i = 0; i < 30; ++i) {
      cluster.Submit("q" + std::to_string(i), MakeJob("a", 1, 1));
    }
    cluster.Plan();
    const std::size_t running_before = cluster.running().size();
    for (DataCentreSpec& d : changed.data_centres) {
      d.out_of_service = false;
    }
    cluster.SetInventory(changed);
    cluster.Plan();
    const std::size_t started_at_once =
        cluster.running().size() - running_before;
    CHECK(started_at_once <= 2);
    cluster.Advance(21s);
    CHECK(cluster.running().size() > running_before + 5);
    CHECK(cluster.faults().empty());
  }
}

TEST_CASE("A faulty worker is quarantined, a faulty job quarantines no worker",
          "[planner]") {
  VirtualCluster cluster(
      PlannerOptions{},
      MakeInventory(1, 2, 3, 8, {{.name = "a"}, {.name = "b"}}));

  SECTION("different jobs fail on one worker: it is quarantined") {
    for (int i = 0; cluster.planner().counters().quarantines == 0 && i < 20;
         ++i) {
      cluster.Submit("j" + std::to_string(i),
                     MakeJob(i % 2 == 0 ? "a" : "b", 1, 8));
      cluster.Plan();
      for (const auto& [id, run] : std::map(cluster.running())) {
        const bool bad = run.placements[0].worker == "w100";
        cluster.Finish(id, bad ? RunEnd::kTaskFailed : RunEnd::kSucceeded,
                       bad ? "w100" : "");
      }
      cluster.Advance(10s);
    }
    CHECK(cluster.planner().counters().quarantines == 1);
    CHECK(cluster.planner().Report().data_centres[0].quarantined_workers == 1);
    SECTION("the quarantine ends after a while") {
      cluster.Advance(6min);
      CHECK(cluster.planner().Report().data_centres[0].quarantined_workers ==
            0);
    }
  }
  SECTION("one job fails on every worker: no quarantine") {
    cluster.Submit("bad", MakeJob("a", 1, 8));
    for (int i = 0; i < 10; ++i) {
      cluster.Plan();
      if (cluster.running().contains("bad")) {
        cluster.Finish("bad", RunEnd::kTaskFailed,
                       cluster.running().at("bad").placements[0].worker);
      }
      cluster.Advance(2min);
    }
    CHECK(cluster.planner().counters().quarantines == 0);
    CHECK(cluster.ended().at("bad") == JobState::kFailed);
  }
  SECTION(
      "an account whose jobs all fail: the quarantined share stays limited") {
    for (int i = 0; i < 200; ++i) {
      cluster.Submit("bad" + std::to_string(i), MakeJob("a", 1, 8));
      cluster.Plan();
      for (const auto& [id, run] : std::map(cluster.running())) {
        cluster.Finish(id, RunEnd::kTaskFailed, run.placements[0].worker);
      }
      cluster.Advance(1s);
    }
    // At first the failures cannot be told from those of faulty workers; the
    // limit on the quarantined share holds in any case.
    CHECK(cluster.planner().Report().data_centres[0].quarantined_workers <= 1);
  }
}

TEST_CASE("The end state of a job is accurate", "[planner]") {
  VirtualCluster cluster(PlannerOptions{},
                         MakeInventory(1, 1, 1, 8, {{.name = "a"}}));
  SECTION("not started within its queue deadline: not run") {
    cluster.Submit("first", MakeJob("a", 1, 8));
    cluster.Plan();
    JobSpec late = MakeJob("a", 1, 8);
    late.queue_deadline = 5s;
    cluster.Submit("late", late);
    cluster.Advance(6s);
    CHECK(cluster.ended().at("late") == JobState::kNotRun);
  }
  SECTION("interrupted and not idempotent: may have run") {
    JobSpec not_repeatable = MakeJob("a", 1, 8);
    not_repeatable.idempotent = false;
    cluster.Submit("once", not_repeatable);
    cluster.Plan();
    cluster.Finish("once", RunEnd::kLost, "w100");
    cluster.Plan();
    CHECK(cluster.ended().at("once") == JobState::kMayHaveRun);
  }
  SECTION("no member started: tried again even if not idempotent") {
    JobSpec not_repeatable = MakeJob("a", 1, 8);
    not_repeatable.idempotent = false;
    cluster.Submit("once", not_repeatable);
    cluster.Plan();
    cluster.Finish("once", RunEnd::kNeverStarted, "w100");
    cluster.Advance(2s);
    CHECK(cluster.running().contains("once"));
  }
}

TEST_CASE("Guarantees that cannot be met are reported", "[planner]") {
  Inventory inventory = MakeInventory(
      2, 1, 2, 8,
      {{.name = "a", .guarantees = {{.accelerators = 8, .count = 3}}}});
  CHECK(CheckGuarantees(inventory).empty());
  CHECK(CheckGuarantees(inventory, "dc0").size() == 1);
  inventory.accounts.push_back(
      {.name = "b",
       .guarantees = {{.accelerators = 8, .workers = 2, .count = 1}}});
  REQUIRE(CheckGuarantees(inventory).size() == 1);
  CHECK(CheckGuarantees(inventory)[0].find("account ") == 0);
}

TEST_CASE("A planner that takes over adopts the running jobs", "[planner]") {
  const Inventory inventory = MakeInventory(1, 1, 3, 8, TwoAccounts());
  VirtualCluster previous(PlannerOptions{}, inventory);
  previous.Submit("own", MakeJob("owner", 2, 8));
  previous.Submit("guest", MakeJob("guest", 1, 8));
  previous.Plan();
  REQUIRE(previous.running().size() == 2);

  Planner successor(PlannerOptions{});
  successor.SetInventory(0ms, inventory);
  for (const WorkerSpec& w : inventory.workers) {
    successor.SetWorkerUp(0ms, w.name, true);
  }
  for (const auto& [id, run] : previous.running()) {
    successor.AdoptRun(0ms, {.job = id, .spec = run.spec, .attempts = 1},
                       run.placements);
  }
  CHECK(successor.Plan(0ms).empty());
  const PlannerReport report = successor.Report();
  CHECK(report.unmet_guarantees.empty());
  CHECK(report.accounts[0].used_guaranteed == 16);
  CHECK(report.accounts[1].used_shared == 8);
}

}  // namespace
}  // namespace marjoramplank::testing
