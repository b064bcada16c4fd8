#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/support/dispatch_cluster.h"

namespace marjoramplank {
namespace {

constexpr int kWorkers = 4;
constexpr Resources kCapacity{.cpu_milli = 16'000,
                              .memory_mb = 64'000,
                              .accelerators = 8};

// One operation of a random history. The operands are reduced modulo the number
// of choices available at that point.
struct Operation {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

void showValue(const Operation& operation, std::ostream& os) {
  os << "{" << operation.kind << "," << operation.a << "," << operation.b
     << "}";
}

rc::Gen<Operation> GenOperation() {
  return rc::gen::build<Operation>(
      rc::gen::set(&Operation::kind, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&Operation::a, rc::gen::inRange(0U, 100'000U)),
      rc::gen::set(&Operation::b, rc::gen::inRange(0U, 100'000U)));
}

// A cluster with random beliefs on run times, and what its plans must obey.
class World {
 public:
  World() : cluster_(kWorkers, kCapacity) {
    cluster_.rules().rules.accounts = {
        {.name = "guaranteed", .guaranteed_accelerators = 16}};
  }

  void Do(const Operation& operation) {
    if (operation.kind < 40) {
      Submit(operation);
    } else if (operation.kind < 60) {
      Believe(operation);
    } else if (operation.kind < 75) {
      EndRun(operation);
    } else if (operation.kind < 90) {
      cluster_.Advance(Duration(operation.a % 4'000));
    } else if (operation.kind < 95) {
      cluster_.EndStoppedRuns();
    } else {
      RC_ASSERT(cluster_.ReplacePlanner());
    }
    cluster_.Advance(50ms);
    CheckPlan(cluster_.MakePlan());
  }

  // Guaranteed work gets its capacity with one plan that stops and one that
  // starts, whatever is believed. It may wait for fast machines before, for
  // FastWait::Options::guaranteed_limit, which leaves 2 s of the 2.7 s in which
  // it must begin for the stops.
  void CheckGuarantee(std::int64_t accelerators) const {
    constexpr Duration kPlanInterval = 100ms;
    World claimed = *this;
    const auto tasks = static_cast<std::int32_t>(16 / accelerators);
    claimed.cluster_.Submit(DispatchCluster::Guaranteed(
        "claim", {.tasks = tasks,
                  .need = {.cpu_milli = 100, .accelerators = accelerators},
                  .gang = true}));
    claimed.CheckPlan(claimed.cluster_.MakePlan());
    const auto is_running = [&] {
      return claimed.cluster_.Unit({.job = "claim"}).phase ==
             RunUnit::Phase::kRunning;
    };
    Duration waited{0};
    while (!is_running() && waited <= FastWait::Options().guaranteed_limit) {
      claimed.cluster_.EndStoppedRuns();
      claimed.cluster_.Advance(kPlanInterval);
      waited += kPlanInterval;
      claimed.CheckPlan(claimed.cluster_.MakePlan());
    }
    RC_ASSERT(is_running());
  }

  bool HasOpenGuarantee() const {
    const std::set<std::string>& open = cluster_.ledger().open_jobs();
    return std::any_of(open.begin(), open.end(), [&](const std::string& id) {
      return cluster_.ledger().FindJob(id)->request.account == "guaranteed";
    });
  }

 private:
  void Submit(const Operation& o) {
    constexpr std::int64_t kAccelerators[] = {0, 1, 2, 4, 8};
    constexpr std::int64_t kCpu[] = {100, 1'000, 4'000, 12'000};
    constexpr std::int64_t kMemory[] = {0, 4'000, 24'000, 60'000};
    const JobStep step{.tasks = 1 + static_cast<std::int32_t>(o.a % 5),
                       .need = {.cpu_milli = kCpu[o.a / 5 % 4],
                                .memory_mb = kMemory[o.a / 20 % 4],
                                .accelerators = kAccelerators[o.a / 80 % 5]},
                       .estimate = Duration(500 + o.b % 20'000),
                       .gang = o.b % 3 == 0,
                       .checkpoints = o.b % 2 == 0,
                       .long_running = o.b % 17 == 0};
    cluster_.Submit(DispatchCluster::Job("j" + std::to_string(jobs_++),
                                         static_cast<std::int32_t>(o.b / 3 % 3),
                                         step));
  }

  std::vector<std::pair<WorkerIncarnation, TaskRef>> Runs() const {
    std::vector<std::pair<WorkerIncarnation, TaskRef>> out;
    for (const auto& [incarnation, worker] : cluster_.ledger().workers()) {
      for (const auto& [task, run] : worker.runs) {
        out.emplace_back(incarnation, task);
      }
    }
    return out;
  }

  // An observation of any run, right or wrong.
  void Believe(const Operation& o) {
    const auto runs = Runs();
    if (runs.empty()) {
      return;
    }
    const auto& [incarnation, task] = runs[o.a % runs.size()];
    constexpr Duration kTimes[] = {-1s, 0s, 1ms, 500ms, 9s, 60s, 24h * 365};
    cluster_.Apply(RunObserved{
        .incarnation = incarnation,
        .task = task,
        .run = cluster_.ledger().FindWorker(incarnation)->runs.at(task).run,
        .percent = static_cast<std::int32_t>(o.b % 120) - 10,
        .stalled = o.b % 31 == 0,
        .projected_run_time = kTimes[o.b / 120 % 7]});
  }

  void EndRun(const Operation& o) {
    const auto runs = Runs();
    if (runs.empty()) {
      return;
    }
    const TaskRef task = runs[o.a % runs.size()].second;
    const LedgerJob& job = *cluster_.ledger().FindJob(task.job);
    const bool is_gang =
        !job.ended() &&
        job.request.steps[static_cast<std::size_t>(task.step)].gang;
    for (const auto& [incarnation, other] : runs) {
      if (other != task && !(is_gang && other.job == task.job)) {
        continue;
      }
      const auto& live = cluster_.ledger().FindWorker(incarnation)->runs;
      const auto run = live.find(other);
      if (run != live.end()) {
        cluster_.Apply(TaskEnded{.incarnation = incarnation,
                                 .task = other,
                                 .run = run->second.run,
                                 .outcome = o.b % 5 == 0 ? TaskOutcome::kStopped
                                                         : TaskOutcome::kDone,
                                 .run_time = Duration(o.b % 30'000)});
      }
    }
  }

  void CheckPlan(const DispatchCluster::Plan& plan) {
    RC_ASSERT(plan.all_applied);
    std::set<TaskRef> stopped;
    for (const RunStopped& stop : plan.stops) {
      RC_ASSERT(stopped.insert(stop.first).second);
    }
    for (const RunStarted& start : plan.starts) {
      RC_ASSERT(!stopped.contains(start.first));
    }
    RC_ASSERT(plan.trace.migrations.size() <= 4U);
    std::map<TaskRef, int> stops_for;
    int stops_beyond_guarantees = 0;
    for (const auto& p : plan.trace.preemptions) {
      if (p.is_guaranteed) {
        continue;
      }
      ++stops_beyond_guarantees;
      RC_ASSERT(p.gain > p.loss);
      RC_ASSERT(++displacements_[p.victim] <= 2);
    }
    RC_ASSERT(stops_beyond_guarantees <= 30);
    for (const auto& [incarnation, worker] : cluster_.ledger().workers()) {
      RC_ASSERT(worker.used.FitsIn(worker.report.capacity));
    }
  }

  DispatchCluster cluster_;
  int jobs_ = 0;
  std::map<TaskRef, int> displacements_;  // By work beyond a guarantee.
};

// Guards against estimates that withhold capacity from a guarantee, and against
// units that are displaced over and over.
TEST_CASE("any run-time beliefs, right or wrong", "[property][preemption]") {
  rc::prop("guarantees hold and displacements are bounded", [] {
    World world;
    const auto history =
        *rc::gen::container<std::vector<Operation>>(GenOperation());
    for (const Operation& operation : history) {
      world.Do(operation);
    }
    for (const std::int64_t size : {1, 2, 4, 8}) {
      world.CheckGuarantee(size);
    }
  });
}

// The members fit with all victims gone, and not with any one of them kept.
void CheckVictims(const Ledger& ledger, Time now, const WaitingUnit& unit) {
  CapacityTable table;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    table.Add(incarnation,
              {.entry = &worker, .free = worker.report.capacity - worker.used});
  }
  const std::set<std::string> guaranteed_jobs{"claim"};
  const PreemptionPolicy policy;
  RunForecast forecast({}, now, 0, ledger);
  PreemptionSearch search(policy, forecast, table, guaranteed_jobs);
  const std::optional<UnitPlacement> placement = search.Find(unit, true);
  if (!placement) {
    return;
  }
  std::map<WorkerIncarnation, std::int32_t> members;
  for (const MemberPlace& m : placement->members) {
    ++members[m.incarnation];
  }
  const std::set<TaskRef> victims(placement->victims.begin(),
                                  placement->victims.end());
  RC_ASSERT(victims.size() == placement->victims.size());
  const auto fits_without = [&](const TaskRef& kept) {
    for (const auto& [incarnation, count] : members) {
      Resources free = table.Find(incarnation)->free;
      for (const auto& [task, run] : ledger.FindWorker(incarnation)->runs) {
        const TaskRef first = FirstTaskOfUnit(*ledger.FindJob(task.job), task);
        const bool ends_soon =
            !unit.is_guaranteed && !victims.contains(first) &&
            forecast.IsReliable(*ledger.FindJob(task.job), task, run) &&
            forecast.RemainingOfUnit(
                *ledger.FindJob(task.job), first,
                ledger.FindJob(task.job)
                    ->occurrences[0][0]
                    .units[static_cast<std::size_t>(first.index)]) <=
                policy.stop_time;
        if ((victims.contains(first) && first != kept) || ends_soon) {
          free += run.need;
        }
      }
      for (std::int32_t n = 0; n < count; ++n) {
        free -= unit.member_need;
      }
      if (!Resources{}.FitsIn(free)) {
        return false;
      }
    }
    return true;
  };
  RC_ASSERT(fits_without({}));
  for (const TaskRef& victim : placement->victims) {
    RC_LOG() << ToString(victim) << "\n";
    RC_ASSERT(!fits_without(victim));
  }
}

// A random worker load, and a unit that displaces some of it.
TEST_CASE("no victim is in vain", "[property][preemption]") {
  rc::prop("the unit does not fit without any one of its victims", [] {
    DispatchCluster cluster(kWorkers, kCapacity);
    const auto loads =
        *rc::gen::container<std::vector<Operation>>(GenOperation());
    int jobs = 0;
    for (const Operation& o : loads) {
      constexpr std::int64_t kAccelerators[] = {0, 1, 2, 3, 8};
      constexpr std::int64_t kCpu[] = {100, 1'000, 3'000, 9'000};
      constexpr std::int64_t kMemory[] = {0, 3'000, 17'000, 60'000};
      const bool is_gang = o.b % 3 == 0;
      cluster.Submit(DispatchCluster::Job(
          "j" + std::to_string(jobs++), 1 + static_cast<std::int32_t>(o.b % 2),
          {.tasks = 1 + static_cast<std::int32_t>(o.a % 4),
           .need = {.cpu_milli = kCpu[o.a / 5 % 4],
                    .memory_mb = kMemory[o.a / 20 % 4],
                    .accelerators = kAccelerators[o.a / 80 % 5]},
           .estimate = 30s,
           .gang = is_gang,
           .checkpoints = o.b % 5 == 0}));
      cluster.MakePlan();
      cluster.Advance(Duration(o.a % 700));
    }
    const JobStep step{
        .tasks = *rc::gen::inRange(1, 5),
        .need = {.cpu_milli =
                     *rc::gen::element<std::int64_t>(100, 2'000, 8'000),
                 .memory_mb = *rc::gen::element<std::int64_t>(0, 9'000, 40'000),
                 .accelerators = *rc::gen::element<std::int64_t>(0, 1, 4)},
        .estimate = 2s,
        .gang = true};
    cluster.Submit(*rc::gen::arbitrary<bool>()
                       ? DispatchCluster::Guaranteed("claim", step)
                       : DispatchCluster::Job("claim", 0, step));
    const LedgerJob& job = *cluster.ledger().FindJob("claim");
    CheckVictims(cluster.ledger(), cluster.now(),
                 {.job = &job,
                  .step = &job.request.steps[0],
                  .unit = &job.occurrences[0][0].units[0],
                  .first_task = {.job = "claim"},
                  .member_count = step.tasks,
                  .member_need = step.need,
                  .due_at = cluster.now(),
                  .deadline = cluster.now() + 3s,
                  .is_guaranteed = job.request.account == "guaranteed"});
  });
}

}  // namespace
}  // namespace marjoramplank
