#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <tuple>
#include <vector>

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

const WorkerIncarnation kWorker{.id = "w", .started_at_unix_ms = 1};

// A job of up to 60 tasks in several occurrences, of which some in a row have
// begun, are done or have failed, on one worker.
Ledger LedgerOfWideJob() {
  Ledger out;
  out.Apply(1s, PlannerElected{.entry = "e", .epoch = 1});
  out.Apply(1s, WorkerReported{.agent = "a",
                               .incarnation = kWorker,
                               .service = "s",
                               .accepting = true});
  JobRequest job{.id = "j",
                 .payload = *rc::gen::element<std::string>("", "p"),
                 .steps = {{.tasks = *rc::gen::inRange(1, 20)},
                           {.tasks = *rc::gen::inRange(1, 4), .gang = true}},
                 .recurrence = {.occurrence_count = *rc::gen::inRange(0, 4)},
                 .terms = {.max_attempts = 100}};
  out.Apply(1s, JobSubmitted{.request = job});
  std::int64_t end_number = 0;
  for (int k = 0; k < std::max(1, job.recurrence.occurrence_count); ++k) {
    const int first = *rc::gen::inRange(0, job.steps[0].tasks);
    const int last = *rc::gen::inRange(first, job.steps[0].tasks + 1);
    const int ended = *rc::gen::inRange(first, last + 1);
    const auto outcome =
        *rc::gen::element(TaskOutcome::kDone, TaskOutcome::kFailed);
    for (int n = first; n < last; ++n) {
      const TaskRef task{.job = "j", .occurrence = k, .index = n};
      out.Apply(
          1s, RunStarted{.epoch = 1, .first = task, .members = {{n, kWorker}}});
      if (n < ended) {
        out.Apply(1s, TaskEnded{.incarnation = kWorker,
                                .end_number = ++end_number,
                                .task = task,
                                .outcome = outcome});
      }
    }
  }
  if (*rc::gen::arbitrary<bool>()) {
    out.Apply(1s, JobCancelled{.job = "j"});
  }
  return out;
}

using RunTuple = std::tuple<TaskRef, std::int32_t, std::string, bool>;

std::vector<RunTuple> RunsOf(const LedgerWorker& worker) {
  std::vector<RunTuple> out;
  for (const auto& [task, run] : worker.runs) {
    out.emplace_back(task, run.run, run.payload, run.must_stop);
  }
  return out;
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

  rc::prop(
      "a restored snapshot has the units and payloads of the original", [] {
        const Ledger ledger = LedgerOfWideJob();
        const auto restored =
            LedgerSnapshot::Load(1s, LedgerSnapshot::Save(ledger, 7));
        RC_ASSERT(restored.has_value());
        const LedgerJob& job = restored->ledger.jobs().at("j");
        const LedgerJob& original = ledger.jobs().at("j");
        RC_ASSERT(job.occurrences == original.occurrences);
        // Ended jobs have no units.
        RC_ASSERT(job.ended() || job.running_units == original.running_units);
        RC_ASSERT(job.request == original.request);
        const LedgerWorker& worker = restored->ledger.workers().at(kWorker);
        RC_ASSERT(RunsOf(worker) == RunsOf(ledger.workers().at(kWorker)));
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
