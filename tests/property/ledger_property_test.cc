#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "src/jobs/ledger.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "tests/support/job_world.h"

namespace marjoramplank {
namespace {

// The log of a played world with mixed faults.
std::vector<LedgerRecord> PlayedLog(std::uint32_t seed) {
  JobWorld world({.seed = seed,
                  .late_orders = 0.05,
                  .lost_answers = 0.05,
                  .agent_restarts = 0.2,
                  .worker_crashes = 0.1,
                  .planner_changes = 0.2,
                  .cancels = 0.2,
                  .failures = 0.1});
  world.Play();
  return world.log();
}

TEST_CASE("ledger", "[jobs][ledger]") {
  rc::prop("each record is read as it was written", [] {
    for (const LedgerRecord& r : PlayedLog(*rc::gen::arbitrary<unsigned>())) {
      RC_ASSERT(DecodeRecord(EncodeRecord(r)) == r);
    }
  });

  rc::prop("a restored snapshot replays on like the state it was made of", [] {
    const std::vector<LedgerRecord> log =
        PlayedLog(*rc::gen::arbitrary<unsigned>());
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

  rc::prop("a record that comes twice at once has no second effect", [] {
    Ledger once;
    Ledger twice;
    for (const LedgerRecord& r : PlayedLog(*rc::gen::arbitrary<unsigned>())) {
      once.Apply(1s, r);
      twice.Apply(1s, r);
      twice.Apply(1s, r);
    }
    RC_ASSERT(LedgerSnapshot::Save(once, 0) == LedgerSnapshot::Save(twice, 0));
  });
}

}  // namespace
}  // namespace marjoramplank
