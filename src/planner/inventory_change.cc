#include "src/planner/inventory_change.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/planner/drain.h"
#include "src/planner/occupancy.h"
#include "src/planner/scheduling_pass.h"

namespace marjoramplank {

void ReallocateTasks(PlannerState& s,
                     JobIndex i,
                     std::vector<PlacedTask> tasks) {
  JobRecord& job = s.job(i);
  const bool claim = job.phase == JobPhase::kClaiming;
  const HostResources need = HostResourcesOf(job.spec.shape);
  for (PlacedTask& task : tasks) {
    if (task.mode != TaskMode::kGuaranteed) {
      continue;
    }
    task.mode = TaskMode::kShared;
    for (const std::int32_t c : s.account(job.account).cells) {
      Cell& cell = s.cell(c);
      for (std::size_t b = 0; b < cell.blocks.size(); ++b) {
        const CellBlock& block = cell.blocks[b];
        if (block.worker == task.worker &&
            (block.mask & task.mask) == task.mask &&
            (block.host_resources - block.used_resources.host_resources)
                .Covers(need)) {
          task.mode = TaskMode::kGuaranteed;
          task.cell = c;
          task.block = static_cast<std::int32_t>(b);
        }
      }
    }
  }
  AllocateTasks(s, i, std::move(tasks), claim);
}

void MarkIfEvacuating(PlannerState& s, JobIndex i) {
  for (const PlacedTask& task : s.job(i).tasks) {
    const auto dc =
        static_cast<std::size_t>(s.table.worker(task.worker).data_centre);
    if (s.table.data_centres()[dc].spec.out_of_service) {
      s.evacuating_jobs.insert(i);
    }
  }
}

namespace {

void BuildCells(PlannerState& s, const Inventory& inventory) {
  s.cells.clear();
  std::int64_t guaranteed_accelerators_total = 0;
  for (AccountState& account : s.accounts) {
    account.in_inventory = false;
    account.cells.clear();
    account.guaranteed_accelerators = 0;
  }
  for (const AccountSpec& spec : inventory.accounts) {
    const auto [it, added] = s.account_by_name.emplace(
        spec.name, static_cast<std::int32_t>(s.accounts.size()));
    if (added) {
      s.accounts.emplace_back();
    }
    AccountState& account = s.account(it->second);
    account.spec = spec;
    account.in_inventory = true;
    for (const Guarantee& guarantee : spec.guarantees) {
      for (Cell& cell : MakeCells(guarantee, it->second, s.table)) {
        account.cells.push_back(static_cast<std::int32_t>(s.cells.size()));
        account.guaranteed_accelerators +=
            std::int64_t{cell.size.accelerators} * cell.size.workers;
        s.cells.push_back(std::move(cell));
      }
    }
    guaranteed_accelerators_total += account.guaranteed_accelerators;
  }
  std::int64_t total = 0;
  for (const WorkerState& w : s.table.workers()) {
    total += w.spec.accelerators;
  }
  s.unguaranteed_accelerators =
      std::max<std::int64_t>(total - guaranteed_accelerators_total, 0);
}

// Gives the locations of the old cells to cells of equal size in the new
// inventory, so that jobs in them stay guaranteed.
void TransferCellLocations(PlannerState& s, std::vector<Cell> old) {
  std::stable_sort(old.begin(), old.end(), [](const Cell& a, const Cell& b) {
    return a.task_count > b.task_count;
  });
  for (const Cell& from : old) {
    for (const std::int32_t c : s.account(from.account).cells) {
      Cell& to = s.cell(c);
      if (from.IsLocated() && !to.IsLocated() && to.size == from.size &&
          (from.blocks[0].worker == kNone ||
           to.Allows(s.table.worker(from.blocks[0].worker).data_centre))) {
        to.blocks = from.blocks;
        for (CellBlock& block : to.blocks) {
          block.used_resources = {};
        }
        break;
      }
    }
  }
}

struct JobTasks {
  JobIndex job = kNone;
  std::vector<PlacedTask> tasks;
};

// Releases every job and returns the tasks that each held.
std::vector<JobTasks> ReleaseAllTasks(PlannerState& s) {
  std::vector<JobTasks> out;
  for (std::size_t n = 0; n < s.jobs.size(); ++n) {
    const auto i = static_cast<JobIndex>(n);
    if (s.job(i).in_use && !s.job(i).tasks.empty()) {
      out.push_back({.job = i, .tasks = s.job(i).tasks});
      ReleaseTasks(s, i);
    }
  }
  return out;
}

void RemapIndices(PlannerState& s,
                  const std::vector<WorkerIndex>& new_indices,
                  std::vector<JobTasks>& held,
                  std::vector<Cell>& old_cells) {
  const auto map = [&](WorkerIndex i) {
    return i == kNone ? kNone : new_indices[static_cast<std::size_t>(i)];
  };
  for (JobTasks& h : held) {
    for (PlacedTask& task : h.tasks) {
      task.worker = map(task.worker);
    }
  }
  for (Cell& cell : old_cells) {
    // Chosen anew under the new inventory.
    cell.initial_blocks.clear();
    for (CellBlock& block : cell.blocks) {
      block.worker = map(block.worker);
    }
  }
  for (JobRecord& job : s.jobs) {
    for (WorkerIndex& i : job.avoided_workers) {
      i = map(i);
    }
  }
  std::vector<QuarantineEvidence> evidence(s.table.workers().size());
  for (std::size_t n = 0; n < new_indices.size(); ++n) {
    if (new_indices[n] != kNone) {
      evidence[static_cast<std::size_t>(new_indices[n])] =
          s.failure_evidence[n];
    }
  }
  s.failure_evidence = std::move(evidence);
}

// Records when data centres left service, and begins the ramp of those that
// returned.
void RecordServiceChanges(
    PlannerState& s,
    Time now,
    const std::map<std::string, bool>& was_out_of_service) {
  for (std::size_t n = 0; n < s.table.data_centres().size(); ++n) {
    DataCentreState& dc = s.table.data_centre(static_cast<std::int32_t>(n));
    const auto it = was_out_of_service.find(dc.spec.name);
    const bool was_out = it != was_out_of_service.end() && it->second;
    if (dc.spec.out_of_service && !was_out) {
      dc.out_of_service_since = now;
    }
    if (!dc.spec.out_of_service && was_out) {
      dc.is_ramping_up = true;
      dc.ramp_tokens = 1;
      dc.ramp_started_at = now;
      dc.ramp_updated_at = now;
      s.timers.emplace(
          now, Timer{.kind = TimerKind::kRunPass, .name = dc.spec.name});
    }
  }
}

void MarkEvacuatingJobs(PlannerState& s) {
  s.evacuating_jobs.clear();
  for (std::size_t n = 0; n < s.jobs.size(); ++n) {
    MarkIfEvacuating(s, static_cast<JobIndex>(n));
  }
}

// Fast path for the most frequent changes, which take a data centre out of
// service or cordon a worker: applies them in place. Returns false if anything
// else differs.
bool TryApplyFlags(PlannerState& s, Time now, const Inventory& next) {
  Inventory next_with_current_flags = next;
  if (next_with_current_flags.workers.size() != s.inventory.workers.size() ||
      next_with_current_flags.data_centres.size() !=
          s.inventory.data_centres.size()) {
    return false;
  }
  for (std::size_t n = 0; n < next_with_current_flags.workers.size(); ++n) {
    next_with_current_flags.workers[n].cordoned =
        s.inventory.workers[n].cordoned;
  }
  for (std::size_t n = 0; n < next_with_current_flags.data_centres.size();
       ++n) {
    next_with_current_flags.data_centres[n].out_of_service =
        s.inventory.data_centres[n].out_of_service;
    next_with_current_flags.data_centres[n].grace_period =
        s.inventory.data_centres[n].grace_period;
  }
  if (next_with_current_flags != s.inventory) {
    return false;
  }
  std::map<std::string, bool> was_out_of_service;
  for (const DataCentreState& dc : s.table.data_centres()) {
    was_out_of_service[dc.spec.name] = dc.spec.out_of_service;
  }
  for (const WorkerSpec& w : next.workers) {
    const WorkerIndex i = s.table.FindWorker(w.name);
    if (i != kNone && s.table.worker(i).spec.cordoned != w.cordoned) {
      s.table.UpdateWorker(
          i, [&](WorkerState& state) { state.spec.cordoned = w.cordoned; });
    }
  }
  bool data_centre_changed = false;
  for (const DataCentreSpec& dc : next.data_centres) {
    const std::int32_t d = s.table.FindDataCentre(dc.name);
    if (d != kNone && s.table.data_centre(d).spec != dc) {
      data_centre_changed = true;
      s.table.SetDataCentre(d, dc);
    }
  }
  if (data_centre_changed) {
    RecordServiceChanges(s, now, was_out_of_service);
    MarkEvacuatingJobs(s);
  }
  return true;
}

}  // namespace

void ApplyInventory(PlannerState& s, Time now, const Inventory& inventory) {
  const bool flags_only = TryApplyFlags(s, now, inventory);
  s.inventory = inventory;
  if (flags_only) {
    s.cells_need_location = true;
    MarkCapacityChanged(s);
    return;
  }
  std::map<std::string, bool> was_out_of_service;
  for (const DataCentreState& dc : s.table.data_centres()) {
    was_out_of_service[dc.spec.name] = dc.spec.out_of_service;
  }
  while (!s.drains.empty()) {
    EndDrain(s, s.drains.back().job);
  }
  std::vector<Cell> old_cells = s.cells;
  std::vector<JobTasks> held = ReleaseAllTasks(s);
  for (const Cell& cell : s.cells) {
    UnreserveBlocks(s.table, cell.blocks);
  }
  const std::vector<WorkerIndex> new_indices =
      s.table.SetInventory(inventory, s.options.region);
  RemapIndices(s, new_indices, held, old_cells);
  BuildCells(s, inventory);
  TransferCellLocations(s, std::move(old_cells));
  for (const Cell& cell : s.cells) {
    ReserveBlocks(s.table, cell.blocks);
  }
  for (JobTasks& h : held) {
    const bool has_removed_worker =
        std::any_of(h.tasks.begin(), h.tasks.end(),
                    [](const PlacedTask& t) { return t.worker == kNone; });
    if (has_removed_worker) {
      s.decisions.emplace_back(
          StopGang{.job = s.job(h.job).id, .reason = StopReason::kWorkerLost});
      s.job(h.job).phase = JobPhase::kStopping;
      continue;
    }
    ReallocateTasks(s, h.job, std::move(h.tasks));
  }
  RecordServiceChanges(s, now, was_out_of_service);
  MarkEvacuatingJobs(s);
  s.cells_need_location = true;
  MarkCapacityChanged(s);
}

}  // namespace marjoramplank
