#include <algorithm>
#include <bit>

#include "marjoramplank/planner.h"
#include "src/planner/occupancy.h"
#include "src/planner/planner_state.h"

namespace marjoramplank {

namespace {

std::string DescribeCellSize(const CellSize& size) {
  const std::string accelerators =
      std::to_string(size.accelerators) + " adjacent accelerators";
  return size.workers > 1
             ? std::to_string(size.workers) +
                   " whole workers of one rack with " + accelerators + " each"
             : accelerators;
}

std::vector<std::string> UnmetGuarantees(const PlannerState& s) {
  std::map<std::pair<std::string, CellSize>, std::int32_t> missing;
  for (const Cell& cell : s.cells) {
    if (!cell.IsLocated()) {
      ++missing[{s.account(cell.account).spec.name, cell.size}];
    }
  }
  std::vector<std::string> out;
  out.reserve(missing.size());
  for (const auto& [key, n] : missing) {
    out.push_back("account " + key.first + ": " + std::to_string(n) + " x " +
                  DescribeCellSize(key.second) +
                  " cannot be held by the workers in service");
  }
  return out;
}

DataCentreReport MakeDataCentreReport(const PlannerState& s,
                                      const DataCentreState& dc) {
  DataCentreReport out{.name = dc.spec.name,
                       .out_of_service = dc.spec.out_of_service,
                       .workers = static_cast<std::int32_t>(dc.workers.size()),
                       .quarantined_workers = dc.quarantined_workers};
  std::int32_t free = 0;
  std::int32_t free_on_idle_workers = 0;
  for (const WorkerIndex i : dc.workers) {
    const WorkerState& w = s.table.worker(i);
    const std::int32_t used = std::popcount(w.allocated.mask);
    out.used += used;
    if (!w.up) {
      continue;
    }
    ++out.workers_up;
    out.accelerators += w.spec.accelerators;
    free += w.spec.accelerators - used;
    free_on_idle_workers += used == 0 ? w.spec.accelerators : 0;
  }
  out.fragmentation =
      free == 0 ? 0 : static_cast<double>(free - free_on_idle_workers) / free;
  return out;
}

// Explains a wait by the first cause that applies, from missing workers to
// fragmentation.
WaitReason ExplainWaiting(const PlannerState& s, const JobRecord& job) {
  const std::int64_t needed = job.TotalAccelerators();
  std::int64_t total = 0;
  std::int64_t in_service = 0;
  std::int64_t free = 0;
  std::int64_t shared_free = 0;
  std::string out_names;
  for (const DataCentreState& dc : s.table.data_centres()) {
    if (dc.spec.out_of_service) {
      out_names += (out_names.empty() ? "" : ", ") + dc.spec.name;
    }
    for (const WorkerIndex i : dc.workers) {
      total += s.table.worker(i).spec.accelerators;
      if (!s.table.IsReservable(i)) {
        continue;
      }
      in_service += s.table.worker(i).spec.accelerators;
      free += std::popcount(
          s.table.FreeCapacityOf(i, CapacityScope::kAnyFree).mask);
      shared_free += std::popcount(
          s.table.FreeCapacityOf(i, CapacityScope::kUnreservedFree).mask);
    }
  }
  const std::string need = "needs " + std::to_string(needed) + " accelerators";
  if (in_service < needed) {
    const std::string why = out_names.empty()
                                ? "workers are down, cordoned or quarantined"
                                : "out of service: " + out_names;
    return {.summary = need + "; only " + std::to_string(in_service) + " of " +
                       std::to_string(total) + " are in service",
            .remedy = why + "; it runs when they return"};
  }
  if (!s.account(job.account).spec.may_borrow) {
    return {
        .summary =
            "the account's guaranteed cells are in use or too small, and it "
            "may not borrow",
        .remedy = "a running job of the account ends, or its guarantee grows"};
  }
  if (free < needed) {
    return {.summary = need + "; " + std::to_string(free) + " are free",
            .remedy = "running jobs end"};
  }
  if (!job.MayBorrow() && shared_free < needed) {
    return {.summary = need +
                       " that are promised to nobody, for it can be neither "
                       "repeated nor checkpointed; " +
                       std::to_string(shared_free) + " are free",
            .remedy =
                "running jobs end, or the job is made idempotent or "
                "checkpointable"};
  }
  if (job.drained_workers > 0) {
    return {.summary = need + " side by side; " +
                       std::to_string(job.drained_workers) +
                       " workers are being drained for it",
            .remedy = "the runs on these workers end"};
  }
  return {.summary = need + " side by side (" + ToString(job.spec.adjacency) +
                     "); " + std::to_string(free) +
                     " are free, but scattered, drained for another gang or "
                     "short of processors, memory or slots",
          .remedy = "running jobs end, or the adjacency is relaxed"};
}

}  // namespace

WaitReason Planner::Explain(Time now, const std::string& job) const {
  const PlannerState& s = *state_;
  const JobIndex i = s.FindJob(job);
  if (i == kNone) {
    return {};
  }
  const JobRecord& record = s.job(i);
  switch (record.phase) {
    case JobPhase::kWaiting:
      if (now - record.submitted_at < 10ms || s.pass_needed) {
        return {.summary = "waits for the next scheduling pass",
                .remedy = "nothing is needed"};
      }
      return ExplainWaiting(s, record);
    case JobPhase::kBackoff:
      return {.summary = "waits to be tried again after attempt " +
                         std::to_string(record.attempts),
              .remedy = "the retry delay passes"};
    case JobPhase::kClaiming:
      return {.summary = "its room is claimed; jobs in it are stopping",
              .remedy = "their checkpoints end"};
    case JobPhase::kStarting:
    case JobPhase::kRunning:
    case JobPhase::kStopping:
      break;
  }
  return {};
}

PlannerReport Planner::Report() const {
  const PlannerState& s = *state_;
  PlannerReport out;
  for (const AccountState& account : s.accounts) {
    if (!account.in_inventory && account.active_jobs == 0 &&
        account.queue.size == 0) {
      continue;
    }
    AccountReport r{
        .account = account.spec.name,
        .guaranteed =
            static_cast<std::int32_t>(account.guaranteed_accelerators),
        .used_guaranteed = static_cast<std::int32_t>(account.used_guaranteed),
        .used_shared = static_cast<std::int32_t>(account.used_shared),
        .used_borrowed = static_cast<std::int32_t>(account.used_borrowed),
        .queued_jobs = account.queue.size,
        .running_jobs = account.active_jobs};
    for (const std::int32_t c : account.cells) {
      r.reserved += s.cell(c).IsLocated()
                        ? s.cell(c).size.accelerators * s.cell(c).size.workers
                        : 0;
    }
    out.queued_jobs += r.queued_jobs;
    out.running_jobs += r.running_jobs;
    out.accounts.push_back(std::move(r));
  }
  for (const DataCentreState& dc : s.table.data_centres()) {
    out.data_centres.push_back(MakeDataCentreReport(s, dc));
  }
  out.unmet_guarantees = UnmetGuarantees(s);
  return out;
}

std::vector<std::string> CheckGuarantees(
    const Inventory& inventory,
    const std::string& excluded_data_centre) {
  Inventory remaining = inventory;
  for (DataCentreSpec& dc : remaining.data_centres) {
    dc.out_of_service = dc.name == excluded_data_centre;
  }
  for (WorkerSpec& w : remaining.workers) {
    w.cordoned = false;
  }
  Planner planner(PlannerOptions{});
  planner.SetInventory(Time{0}, remaining);
  for (const WorkerSpec& w : remaining.workers) {
    planner.SetWorkerUp(Time{0}, w.name, true);
  }
  planner.Plan(Time{0});
  return planner.Report().unmet_guarantees;
}

}  // namespace marjoramplank
