#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "src/jobs/ledger.h"
#include "src/jobs/ledger_snapshot.h"
#include "tests/support/job_simulation.h"

namespace marjoramplank {
namespace {

// An arbitrary run time, of which some are odd.
Duration ArbitraryRunTime() {
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return Duration(*rc::gen::arbitrary<std::int64_t>());
    case 1:
      return Duration(-*rc::gen::inRange(0, 10'000));
    case 2:
      return Duration::max();
    default:
      return Duration(*rc::gen::inRange(1, 20'000));
  }
}

// The log of a simulation with mixed faults, in which agents state arbitrary
// run times.
std::vector<LedgerRecord> LogWithRunTimes() {
  JobSimulation simulation({.seed = *rc::gen::arbitrary<unsigned>(),
                            .delayed_command_share = 0.05,
                            .lost_reply_share = 0.05,
                            .agent_restarts_per_s = 0.2,
                            .worker_crashes_per_s = 0.1,
                            .planner_changes_per_s = 0.2,
                            .failed_run_share = 0.1});
  simulation.Run();
  std::vector<LedgerRecord> out = simulation.log();
  for (LedgerRecord& record : out) {
    if (auto* ended = std::get_if<TaskEnded>(&record)) {
      ended->run_time = ArbitraryRunTime();
    } else if (auto* observed = std::get_if<RunObserved>(&record)) {
      observed->projected_run_time = ArbitraryRunTime();
    }
  }
  return out;
}

std::string Save(const Ledger& ledger) {
  return LedgerSnapshot::Save(ledger, 0);
}

TEST_CASE("run-time model", "[run_times]") {
  rc::prop("processes that replay the same records have the same model", [] {
    const std::vector<LedgerRecord> log = LogWithRunTimes();
    Ledger at_once;
    Ledger in_parts;
    Time now = 1s;
    for (const LedgerRecord& r : log) {
      at_once.Apply(1s, r);
      // Read at other times, repeated, and through a snapshot now and then.
      now += Duration(*rc::gen::inRange(0, 5'000));
      in_parts.Apply(now, r);
      if (*rc::gen::inRange(0, 4) == 0) {
        in_parts.Apply(now, r);
      }
      if (*rc::gen::inRange(0, 50) == 0) {
        auto restored = LedgerSnapshot::Load(now, Save(in_parts));
        RC_ASSERT(restored.has_value());
        in_parts = std::move(restored->ledger);
      }
    }
    RC_ASSERT(Save(at_once) == Save(in_parts));
  });

  rc::prop("no numbers make an estimate wrong by more than its bounds", [] {
    Ledger ledger;
    for (const LedgerRecord& r : LogWithRunTimes()) {
      ledger.Apply(1s, r);
      const RunTimeModel& model = ledger.run_times();
      RC_ASSERT(model.group_count() <= 256U);
      RC_ASSERT(model.machine_count() <= ledger.agents().size());
    }
    for (const auto& [agent, state] : ledger.agents()) {
      const double slowness = ledger.run_times().Slowness(1s, agent);
      RC_ASSERT(std::isfinite(slowness));
      // Not below 2^-0.5.
      RC_ASSERT(slowness > 0.7);
      RC_ASSERT(ledger.run_times().SampleCount(agent) <= 8U);
    }
    for (const std::string& id : ledger.open_jobs()) {
      const JobRequest& request = ledger.jobs().at(id).request;
      for (std::size_t step = 0; step < request.steps.size(); ++step) {
        const Duration expected =
            ledger.run_times().Expected(request, step, 5s);
        const Duration pessimistic =
            ledger.run_times().Pessimistic(request, step, 5s);
        RC_ASSERT(expected >= 1ms);
        RC_ASSERT(pessimistic >= expected);
        RC_ASSERT(pessimistic <= kMaxDuration);
      }
    }
  });
}

}  // namespace
}  // namespace marjoramplank
