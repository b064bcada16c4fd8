#include "src/dispatch/trial_rules.h"

#include <algorithm>

#include "src/dispatch/placement.h"

namespace marjoramplank {

namespace {

Time NewestStart(const LedgerWorker& worker) {
  Time newest{0};
  for (const auto& [task, run] : worker.runs) {
    newest = std::max(newest, run.first_seen_at);
  }
  return newest;
}

}  // namespace

bool TrialRules::IsSettled(Time now, const LedgerWorker& worker) const {
  return now - NewestStart(worker) >= options_.settling_time;
}

void TrialRules::MarkHosts(Time now,
                           const Ledger& ledger,
                           CapacityTable& table) const {
  for (const WorkerCapacity* worker : table.workers()) {
    for (const auto& [task, run] : worker->entry->runs) {
      if (now - run.first_seen_at < options_.settling_time &&
          ledger.CrashedWorkers(task) >= kTrialCrashedWorkers) {
        table.MarkTrialHost(worker->entry->report.incarnation);
      }
    }
  }
}

bool TrialRules::MayHostMore(const CapacityTable& table) const {
  const double limit =
      options_.max_hosts * static_cast<double>(table.workers().size());
  return static_cast<double>(table.trial_hosts()) < std::max(1.0, limit);
}

void TrialRules::KeepWorkerFree(const WaitingUnit& unit, CapacityTable& table) {
  const WorkerCapacity* best = nullptr;
  table.CountExamined(table.workers().size());
  for (const WorkerCapacity* worker : table.workers()) {
    const bool fits = !worker->hosts_trial && !worker->is_quarantined &&
                      MembersThatFit(unit, *worker, worker->free) > 0;
    if (fits && (best == nullptr ||
                 NewestStart(*worker->entry) < NewestStart(*best->entry))) {
      best = worker;
    }
  }
  if (best != nullptr) {
    table.MarkTrialHost(best->entry->report.incarnation);
  }
}

}  // namespace marjoramplank
