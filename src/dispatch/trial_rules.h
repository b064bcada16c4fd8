#pragma once

#include "src/dispatch/capacity_table.h"
#include "src/dispatch/waiting_unit.h"

namespace marjoramplank {

// Units under which kTrialCrashedWorkers workers have crashed run on trial: no
// other task is started on their worker shortly before or after them. If it
// crashes again, nothing else can have caused it.
class TrialRules {
 public:
  struct Options {
    // A task that crashes its worker does so as it starts. A worker that was
    // given no task for this long has survived them all: the longest delay from
    // the decision to the start, and half a second.
    Duration settling_time{2500};
    // Most workers, as a fraction of all, that may host units on trial; at
    // least one may.
    double max_hosts = 0.25;
  };

  explicit TrialRules(Options options) : options_(options) {}

  bool IsSettled(Time now, const LedgerWorker& worker) const;
  // Marks the workers that host a trial. It lasts until its run is settled:
  // what crashes the worker afterwards is not its doing.
  void MarkHosts(Time now, const Ledger& ledger, CapacityTable& table) const;
  bool MayHostMore(const CapacityTable& table) const;
  // Keeps the worker that is settled next free for the unit, which would wait
  // for ever on workers that are given tasks all the time.
  static void KeepWorkerFree(const WaitingUnit& unit, CapacityTable& table);

 private:
  Options options_;
};

}  // namespace marjoramplank
