#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/support/history_checker.h"
#include "tests/support/protocol_simulation.h"
#include "tests/support/virtual_cluster.h"

namespace marjoramplank::testing {
namespace {

constexpr int kEntries = 3;
// Time after the last fault in which all jobs must end.
constexpr Duration kRecoveryTime = 90s;

struct Op {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t wait_ms = 0;
};

void showValue(const Op& op, std::ostream& os) {
  os << "{" << op.kind << "," << op.a << "," << op.b << "," << op.wait_ms
     << "}";
}

rc::Gen<Op> GenOp() {
  return rc::gen::build<Op>(
      rc::gen::set(&Op::kind, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&Op::a, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Op::b, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Op::wait_ms, rc::gen::inRange(0U, 4000U)));
}

Inventory SmallInventory() {
  return MakeInventory(
      2, 1, 2, 8,
      {{.name = "a", .guarantees = {{.accelerators = 8, .count = 1}}},
       {.name = "b"}});
}

struct Scenario {
  ProtocolSimulation simulation;
  std::map<std::string, SubmittedJob> jobs;
  std::set<std::string> killed_agents;

  Scenario(const FaultProfile& fault_profile)
      : simulation(fault_profile, kEntries, SmallInventory()) {
    simulation.Run(5s);
  }

  int Entry(std::uint32_t n) const { return static_cast<int>(n % kEntries); }
  std::string Worker(std::uint32_t n) const {
    return "w" + std::to_string(100 + n % 4);
  }

  void Submit(const Op& op) {
    JobSpec spec =
        MakeJob(op.a % 2 == 0 ? "a" : "b", 1 + static_cast<int>(op.b % 4),
                1 + static_cast<int>(op.b / 4 % 4));
    spec.request_id = "r" + std::to_string(jobs.size());
    spec.idempotent = op.a % 3 != 0;
    spec.checkpointable = op.a % 5 == 0;
    spec.queue_deadline = op.b % 7 == 0 ? Duration{2000} : Duration{0};
    spec.adjacency =
        op.b % 3 == 0 ? Adjacency::kRegion : Adjacency::kDataCentre;
    spec.payload = "run_ms=" + std::to_string(100 + op.b * 7);
    if (!CheckJobSpec(spec, SmallInventory()).empty()) {
      return;
    }
    const std::string id = JobIdFor(spec.account, spec.request_id);
    jobs[id] = {.spec = spec, .id = id};
    simulation.Submit(Entry(op.b), spec);
  }

  void Apply(const Op& op) {
    const int e = Entry(op.a);
    if (op.kind < 40) {
      Submit(op);
    } else if (op.kind < 46) {
      simulation.KillEntry(e);
    } else if (op.kind < 56) {
      if (!simulation.IsEntryRunning(e)) {
        simulation.RestartEntry(e);
      }
    } else if (op.kind < 61) {
      simulation.FreezeEntry(e, Duration{op.b * 12});
    } else if (op.kind < 66) {
      simulation.KillAgent(Worker(op.a));
      killed_agents.insert(Worker(op.a));
    } else if (op.kind < 72 && !killed_agents.empty()) {
      simulation.RestartAgent(*killed_agents.begin());
      killed_agents.erase(killed_agents.begin());
    } else if (op.kind < 76) {
      simulation.FreezeAgent(Worker(op.a), Duration{op.b * 12});
    } else if (op.kind < 80) {
      simulation.SetLogDown(op.a % 2 == 0);
    } else if (op.kind < 83) {
      simulation.SetLogUnreachable(e, op.b % 2 == 0);
    } else if (op.kind < 87) {
      simulation.SetPartitioned("e" + std::to_string(e),
                                op.b % 2 == 0
                                    ? Worker(op.b)
                                    : "e" + std::to_string((e + 1) % kEntries),
                                op.b % 3 != 0);
    } else if (op.kind < 92 && simulation.IsEntryRunning(e)) {
      simulation.SetOutOfService(e, op.b % 2 == 0 ? "dc0" : "dc1",
                                 op.b % 3 != 0);
    } else if (op.kind < 97 && !jobs.empty()) {
      simulation.Cancel(e, std::next(jobs.begin(), op.b % jobs.size())->first);
    } else if (!jobs.empty()) {
      simulation.Wait(e, std::next(jobs.begin(), op.b % jobs.size())->first,
                      3s);
    }
    simulation.Run(Duration{op.wait_ms});
  }

  // Repairs all faults, waits for the system to settle and collects the
  // outcomes.
  void RepairAndSettle() {
    simulation.SetLogDown(false);
    for (int n = 0; n < kEntries; ++n) {
      simulation.SetLogUnreachable(n, false);
      if (!simulation.IsEntryRunning(n)) {
        simulation.RestartEntry(n);
      }
      for (int m = 0; m < 4; ++m) {
        simulation.SetPartitioned("e" + std::to_string(n),
                                  Worker(static_cast<std::uint32_t>(m)), false);
      }
      simulation.SetPartitioned("e" + std::to_string(n),
                                "e" + std::to_string((n + 1) % kEntries),
                                false);
    }
    for (const std::string& worker : killed_agents) {
      simulation.RestartAgent(worker);
    }
    simulation.Run(20s);
    for (const char* dc : {"dc0", "dc1"}) {
      simulation.SetOutOfService(0, dc, false);
      simulation.Run(3s);
    }
    simulation.Run(kRecoveryTime);
    for (const auto& [id, job] : jobs) {
      for (int n = 0; n < kEntries; ++n) {
        simulation.Wait(n, id, Duration{0});
      }
    }
    simulation.Run(2s);
  }
};

std::vector<std::string> RunScenario(const FaultProfile& fault_profile,
                                     const std::vector<Op>& ops,
                                     bool expect_all_ended) {
  Scenario scenario(fault_profile);
  for (const Op& op : ops) {
    scenario.Apply(op);
  }
  scenario.RepairAndSettle();
  std::vector<std::string> violations = CheckHistory(
      scenario.simulation.events(), scenario.jobs, scenario.simulation.now());
  if (expect_all_ended) {
    for (const std::string& task : scenario.simulation.RunningTasks()) {
      violations.push_back("still running after the recovery time: " + task);
    }
    for (const auto& [id, logged] :
         scenario.simulation.entry_state(0).log.jobs()) {
      if (!logged.ended) {
        violations.push_back("not ended after the recovery time: " + id);
      }
    }
  }
  return violations;
}

TEST_CASE("The protocols keep their guarantees under faults",
          "[property][protocol]") {
  rc::prop("reliable channels, crashing processes", [] {
    const auto ops = *rc::gen::container<std::vector<Op>>(GenOp());
    RC_ASSERT(
        RunScenario({.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000)},
                    ops, true) == std::vector<std::string>{});
  });
  rc::prop(
      "channels that lose, duplicate, delay and reorder, a log that loses "
      "answers",
      [] {
        const auto ops = *rc::gen::container<std::vector<Op>>(GenOp());
        const FaultProfile fault_profile{
            .seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000),
            .loss_percent = 5,
            .duplicate_percent = 5,
            .max_delay = Duration{150},
            .log_fault_percent = 15};
        RC_ASSERT(RunScenario(fault_profile, ops, true) ==
                  std::vector<std::string>{});
      });
}

}  // namespace
}  // namespace marjoramplank::testing
