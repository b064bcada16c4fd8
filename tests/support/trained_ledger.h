#pragma once

#include <string>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// A machine, and its run time divided by that of usual machines.
struct TrainedMachine {
  WorkerIncarnation worker;
  double slowness = 1;
};

// Runs jobs with one task on each of the machines to their ends, so that the
// ledger's run-time model knows these machines. The first start must be free of
// other work on them; `end_number` counts the ended runs of each.
inline void TrainMachines(Ledger& ledger,
                          Time now,
                          const std::vector<TrainedMachine>& machines) {
  constexpr int kJobs = 4;
  constexpr double kRunTimeMs = 8000;
  for (int n = 0; n < kJobs; ++n) {
    const std::string id = "training-" + std::to_string(n);
    const auto tasks = static_cast<std::int32_t>(machines.size());
    ledger.Apply(now, JobSubmitted{.request = {.id = id,
                                               .account = "training",
                                               .payload = "p",
                                               .steps = {{.tasks = tasks}},
                                               .terms = {.queue = "training",
                                                         .service = "s",
                                                         .priority = 2,
                                                         .max_attempts = 1}}});
    for (std::int32_t i = 0; i < tasks; ++i) {
      const TrainedMachine& machine = machines[static_cast<std::size_t>(i)];
      const TaskRef task{.job = id, .index = i};
      ledger.Apply(
          now,
          RunStarted{.epoch = ledger.planner_epoch(),
                     .first = task,
                     .run = 1,
                     .members = {{.index = i, .incarnation = machine.worker}}});
      ledger.Apply(now,
                   TaskEnded{.incarnation = machine.worker,
                             .end_number = n + 1,
                             .task = task,
                             .run = 1,
                             .run_time = Duration(static_cast<std::int64_t>(
                                 kRunTimeMs * machine.slowness))});
    }
  }
}

}  // namespace marjoramplank
