#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "src/jobs/ledger.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "tests/support/job_simulation.h"

namespace marjoramplank {
namespace {

// Returns the log of a simulation with mixed faults.
std::vector<LedgerRecord> SimulatedLog(std::uint32_t seed) {
  JobSimulation simulation({.seed = seed,
                            .delayed_command_share = 0.05,
                            .lost_reply_share = 0.05,
                            .agent_restarts_per_s = 0.2,
                            .worker_crashes_per_s = 0.1,
                            .planner_changes_per_s = 0.2,
                            .cancelled_job_share = 0.2,
                            .failed_run_share = 0.1});
  simulation.Run();
  return simulation.log();
}

TEST_CASE("ledger", "[jobs][ledger]") {
  rc::prop("records round-trip through the codec", [] {
    for (const LedgerRecord& r :
         SimulatedLog(*rc::gen::arbitrary<unsigned>())) {
      RC_ASSERT(DecodeRecord(EncodeRecord(r)) == r);
    }
  });

  rc::prop("a restored snapshot replays like the original state", [] {
    const std::vector<LedgerRecord> log =
        SimulatedLog(*rc::gen::arbitrary<unsigned>());
    const auto cut = *rc::gen::inRange<std::size_t>(0, log.size());
    Ledger whole;
    for (std::size_t n = 0; n < cut; ++n) {
      whole.Apply(1s, log[n]);
    }
    std::optional<LedgerSnapshot::Restored> restored =
        LedgerSnapshot::Load(1s, LedgerSnapshot::Save(whole, 7));
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored->position == 7);
    for (std::size_t n = cut; n < log.size(); ++n) {
      RC_ASSERT(whole.Apply(1s, log[n]) == restored->ledger.Apply(1s, log[n]));
    }
    RC_ASSERT(LedgerSnapshot::Save(whole, 0) ==
              LedgerSnapshot::Save(restored->ledger, 0));
  });

  rc::prop("a record repeated immediately has no second effect", [] {
    Ledger once;
    Ledger twice;
    for (const LedgerRecord& r :
         SimulatedLog(*rc::gen::arbitrary<unsigned>())) {
      once.Apply(1s, r);
      twice.Apply(1s, r);
      twice.Apply(1s, r);
    }
    RC_ASSERT(LedgerSnapshot::Save(once, 0) == LedgerSnapshot::Save(twice, 0));
  });
}

}  // namespace
}  // namespace marjoramplank
