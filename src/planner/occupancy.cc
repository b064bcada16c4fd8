#include "src/planner/occupancy.h"

#include <algorithm>
#include <bit>

namespace marjoramplank {

JobIndex PlannerState::FindJob(const std::string& id) const {
  const auto it = job_by_id.find(id);
  return it == job_by_id.end() ? kNone : it->second;
}

namespace {

std::int64_t& UsageCounter(AccountState& account, TaskMode mode) {
  switch (mode) {
    case TaskMode::kGuaranteed:
      return account.used_guaranteed;
    case TaskMode::kShared:
      return account.used_shared;
    case TaskMode::kBorrowed:
      break;
  }
  return account.used_borrowed;
}

bool FitsUnreserved(const WorkerState& w,
                    AcceleratorMask mask,
                    const HostResources& need) {
  return (w.reserved.mask & mask) == 0 &&
         (w.HostCapacity() - w.reserved.host_resources).Covers(need);
}

void ReserveTask(PlannerState& s, const JobRecord& job, PlacedTask& task) {
  const HostResources need = HostResourcesOf(job.spec.shape);
  if (task.mode == TaskMode::kGuaranteed) {
    Cell& cell = s.cell(task.cell);
    cell.blocks[static_cast<std::size_t>(task.block)].used_resources.Add(
        task.mask, need);
    ++cell.task_count;
    return;
  }
  if (!FitsUnreserved(s.table.worker(task.worker), task.mask, need)) {
    task.mode = TaskMode::kBorrowed;
    return;
  }
  task.mode = TaskMode::kShared;
  s.table.UpdateWorker(task.worker, [&](WorkerState& w) {
    w.reserved.Add(task.mask, need);
    if (job.IsPreemptible()) {
      w.reserved_by_preemptible.Add(task.mask, need);
    }
  });
}

void UnreserveTask(PlannerState& s,
                   const JobRecord& job,
                   const PlacedTask& task) {
  const HostResources need = HostResourcesOf(job.spec.shape);
  if (task.mode == TaskMode::kGuaranteed) {
    Cell& cell = s.cell(task.cell);
    cell.blocks[static_cast<std::size_t>(task.block)].used_resources.Remove(
        task.mask, need);
    --cell.task_count;
    return;
  }
  if (task.mode == TaskMode::kShared && task.worker != kNone) {
    s.table.UpdateWorker(task.worker, [&](WorkerState& w) {
      w.reserved.Remove(task.mask, need);
      if (job.IsPreemptible()) {
        w.reserved_by_preemptible.Remove(task.mask, need);
      }
    });
  }
}

// True when a block of the cell is on a worker that cannot hold guarantees at
// present.
bool HasUnusableWorker(const PlannerState& s, const Cell& cell) {
  return std::any_of(
      cell.blocks.begin(), cell.blocks.end(), [&](const CellBlock& b) {
        return b.worker == kNone || !s.table.IsReservable(b.worker);
      });
}

// Unreserved blocks of the cell's size that contain the task.
std::vector<CellBlock> BlocksAroundTask(const PlannerState& s,
                                        const Cell& cell,
                                        const PlacedTask& task) {
  const WorkerState& w = s.table.worker(task.worker);
  if (cell.size.workers == 1) {
    const std::int32_t size = cell.size.accelerators;
    const std::int32_t at = std::countr_zero(task.mask) / size * size;
    const CellBlock block{.worker = task.worker,
                          .mask = FullMask(size) << at,
                          .host_resources = ProportionalHostResources(w, size)};
    const bool fits = (block.mask & task.mask) == task.mask &&
                      (block.mask & ~w.AllAccelerators()) == 0 &&
                      FitsUnreserved(w, block.mask, block.host_resources);
    return fits ? std::vector{block} : std::vector<CellBlock>{};
  }
  std::vector<CellBlock> blocks;
  std::vector<WorkerIndex> order =
      s.table.racks()[static_cast<std::size_t>(w.rack)].workers;
  std::stable_partition(order.begin(), order.end(), [&](WorkerIndex i) {
    return !s.table.worker(i).jobs.empty();
  });
  std::stable_partition(order.begin(), order.end(),
                        [&](WorkerIndex i) { return i == task.worker; });
  for (const WorkerIndex i : order) {
    const WorkerState& other = s.table.worker(i);
    const bool is_whole_worker_free =
        other.spec.accelerators == cell.size.accelerators &&
        s.table.IsReservable(i) &&
        FitsUnreserved(other, other.AllAccelerators(), other.HostCapacity());
    if (is_whole_worker_free &&
        blocks.size() < static_cast<std::size_t>(cell.size.workers)) {
      blocks.push_back({.worker = i,
                        .mask = other.AllAccelerators(),
                        .host_resources = other.HostCapacity()});
    }
  }
  const bool contains_task = !blocks.empty() && blocks[0].worker == task.worker;
  return contains_task &&
                 blocks.size() == static_cast<std::size_t>(cell.size.workers)
             ? blocks
             : std::vector<CellBlock>{};
}

}  // namespace

void AllocateTasks(PlannerState& s,
                   JobIndex i,
                   std::vector<PlacedTask> tasks,
                   bool as_claim) {
  JobRecord& job = s.job(i);
  AccountState& account = s.account(job.account);
  const HostResources need = HostResourcesOf(job.spec.shape);
  for (PlacedTask& task : tasks) {
    if (!job.IsPreemptible() && task.mode != TaskMode::kGuaranteed) {
      VacateByDemotion(
          s,
          {.worker = task.worker, .mask = task.mask, .host_resources = need});
    }
    ReserveTask(s, job, task);
    s.table.UpdateWorker(task.worker, [&](WorkerState& w) {
      (as_claim ? w.claimed : w.allocated).Add(task.mask, need);
      if (!as_claim) {
        w.jobs.push_back(i);
        w.unmovable_tasks += job.spec.checkpointable ? 0 : 1;
      }
    });
    UsageCounter(account, task.mode) += job.spec.shape.accelerators;
  }
  job.tasks = std::move(tasks);
  ++account.active_jobs;
}

bool TryActivateClaim(PlannerState& s, JobIndex i) {
  const JobRecord& job = s.job(i);
  const HostResources need = HostResourcesOf(job.spec.shape);
  std::map<WorkerIndex, ResourceSet> wanted;
  for (const PlacedTask& task : job.tasks) {
    wanted[task.worker].Add(task.mask, need);
  }
  for (const auto& [n, want] : wanted) {
    const WorkerState& w = s.table.worker(n);
    if ((w.allocated.mask & want.mask) != 0 ||
        !(w.HostCapacity() - w.allocated.host_resources)
             .Covers(want.host_resources)) {
      return false;
    }
  }
  for (const PlacedTask& task : job.tasks) {
    s.table.UpdateWorker(task.worker, [&](WorkerState& w) {
      w.claimed.Remove(task.mask, need);
      w.allocated.Add(task.mask, need);
      w.jobs.push_back(i);
      w.unmovable_tasks += job.spec.checkpointable ? 0 : 1;
    });
  }
  return true;
}

void ReleaseTasks(PlannerState& s, JobIndex i) {
  JobRecord& job = s.job(i);
  if (job.tasks.empty()) {
    return;
  }
  AccountState& account = s.account(job.account);
  const HostResources need = HostResourcesOf(job.spec.shape);
  const bool is_claim = job.phase == JobPhase::kClaiming;
  for (const PlacedTask& task : job.tasks) {
    UnreserveTask(s, job, task);
    UsageCounter(account, task.mode) -= job.spec.shape.accelerators;
    if (task.worker == kNone) {
      continue;  // The worker was removed from the inventory.
    }
    s.table.UpdateWorker(task.worker, [&](WorkerState& w) {
      (is_claim ? w.claimed : w.allocated).Remove(task.mask, need);
      if (!is_claim) {
        w.jobs.erase(std::find(w.jobs.begin(), w.jobs.end(), i));
        w.unmovable_tasks -= job.spec.checkpointable ? 0 : 1;
      }
    });
    if (task.mode == TaskMode::kGuaranteed && s.cell(task.cell).IsIdle() &&
        HasUnusableWorker(s, s.cell(task.cell))) {
      s.cells_need_location = true;
    }
  }
  const std::vector<PlacedTask> tasks = std::move(job.tasks);
  job.tasks.clear();
  --account.active_jobs;
  s.evacuating_jobs.erase(i);
  std::set<std::int32_t> cells;
  for (const PlacedTask& task : tasks) {
    if (task.mode == TaskMode::kShared && task.worker != kNone) {
      PromoteBorrowedTasks(s, task.worker);
    }
    if (task.mode == TaskMode::kGuaranteed) {
      cells.insert(task.cell);
    }
  }
  for (const std::int32_t c : cells) {
    ReturnCellToInitialBlocks(s, c);
  }
  MarkCapacityChanged(s);
}

void DemoteSharedTasks(PlannerState& s, JobIndex i) {
  JobRecord& job = s.job(i);
  AccountState& account = s.account(job.account);
  for (PlacedTask& task : job.tasks) {
    if (task.mode != TaskMode::kShared) {
      continue;
    }
    UnreserveTask(s, job, task);
    task.mode = TaskMode::kBorrowed;
    account.used_shared -= job.spec.shape.accelerators;
    account.used_borrowed += job.spec.shape.accelerators;
  }
}

void PromoteBorrowedTasks(PlannerState& s, WorkerIndex worker) {
  const std::vector<JobIndex> jobs = s.table.worker(worker).jobs;
  for (const JobIndex i : jobs) {
    JobRecord& job = s.job(i);
    if (job.phase == JobPhase::kStopping) {
      continue;
    }
    for (PlacedTask& task : job.tasks) {
      if (task.worker != worker || task.mode != TaskMode::kBorrowed) {
        continue;
      }
      ReserveTask(s, job, task);
      if (task.mode == TaskMode::kShared) {
        s.account(job.account).used_borrowed -= job.spec.shape.accelerators;
        s.account(job.account).used_shared += job.spec.shape.accelerators;
      }
    }
  }
}

bool CanVacateByDemotion(const PlannerState& s, const CellBlock& block) {
  if (block.worker == kNone || !s.table.IsReservable(block.worker) ||
      s.table.worker(block.worker).drained_for != kNone) {
    return false;
  }
  const WorkerState& w = s.table.worker(block.worker);
  const AcceleratorMask unavailable_accelerators =
      w.reserved.mask & ~w.reserved_by_preemptible.mask;
  const HostResources free = w.HostCapacity() - w.reserved.host_resources +
                             w.reserved_by_preemptible.host_resources;
  return (unavailable_accelerators & block.mask) == 0 &&
         free.Covers(block.host_resources);
}

void VacateByDemotion(PlannerState& s, const CellBlock& block) {
  const std::vector<JobIndex> jobs = s.table.worker(block.worker).jobs;
  for (const JobIndex i : jobs) {
    const WorkerState& w = s.table.worker(block.worker);
    if (FitsUnreserved(w, block.mask, block.host_resources)) {
      return;
    }
    const JobRecord& job = s.job(i);
    if (job.IsPreemptible()) {
      DemoteSharedTasks(s, i);
    }
  }
}

void LocateCells(PlannerState& s) {
  s.cells_need_location = false;
  std::vector<std::int32_t> order;
  for (std::size_t n = 0; n < s.cells.size(); ++n) {
    const auto i = static_cast<std::int32_t>(n);
    Cell& cell = s.cell(i);
    if (cell.IsIdle() && cell.IsLocated() && HasUnusableWorker(s, cell)) {
      UnreserveBlocks(s.table, cell.blocks);
      cell.blocks.clear();
    }
    if (!cell.IsLocated()) {
      order.push_back(i);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::int32_t a, std::int32_t b) {
                     return PacksBefore(s.cell(a), s.cell(b));
                   });
  for (const std::int32_t i : order) {
    Cell& cell = s.cell(i);
    cell.blocks = FindLocation(s.table, cell, LocateMode::kUnreserved);
    if (!cell.IsLocated()) {
      cell.blocks = FindLocation(s.table, cell, LocateMode::kAllowDemotion);
      for (const CellBlock& block : cell.blocks) {
        VacateByDemotion(s, block);
      }
    }
    ReserveBlocks(s.table, cell.blocks);
    if (cell.initial_blocks.empty()) {
      cell.initial_blocks = cell.blocks;
    }
  }
}

void LocateCellAroundTask(PlannerState& s,
                          std::int32_t account,
                          const PlacedTask& task) {
  const auto covers = [&](const CellBlock& block) {
    return block.worker == task.worker && (block.mask & task.mask) == task.mask;
  };
  const std::vector<std::int32_t>& own = s.account(account).cells;
  const bool covered = std::any_of(own.begin(), own.end(), [&](std::int32_t c) {
    return std::any_of(s.cell(c).blocks.begin(), s.cell(c).blocks.end(),
                       covers);
  });
  const std::int32_t data_centre = s.table.worker(task.worker).data_centre;
  if (covered || task.mask == 0 || !s.table.IsReservable(task.worker)) {
    return;
  }
  for (const std::int32_t c : own) {
    Cell& cell = s.cell(c);
    if (cell.IsLocated() || !cell.Allows(data_centre)) {
      continue;
    }
    std::vector<CellBlock> blocks = BlocksAroundTask(s, cell, task);
    if (!blocks.empty()) {
      cell.blocks = std::move(blocks);
      ReserveBlocks(s.table, cell.blocks);
      return;
    }
  }
}

namespace {

bool SameBlocks(const std::vector<CellBlock>& a,
                const std::vector<CellBlock>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const CellBlock& x, const CellBlock& y) {
                      return x.worker == y.worker && x.mask == y.mask;
                    });
}

}  // namespace

void ReturnCellToInitialBlocks(PlannerState& s, std::int32_t c) {
  const Cell& cell = s.cell(c);
  if (!cell.IsIdle() || cell.initial_blocks.empty() ||
      SameBlocks(cell.blocks, cell.initial_blocks) ||
      !std::all_of(
          cell.initial_blocks.begin(), cell.initial_blocks.end(),
          [&](const CellBlock& b) { return CanVacateByDemotion(s, b); })) {
    return;
  }
  const std::vector<CellBlock> initial_blocks = cell.initial_blocks;
  for (const CellBlock& block : initial_blocks) {
    VacateByDemotion(s, block);
  }
  MoveCell(s, c, initial_blocks);
}

void MoveCell(PlannerState& s,
              std::int32_t cell,
              std::vector<CellBlock> blocks) {
  Cell& c = s.cell(cell);
  const std::vector<CellBlock> old = std::move(c.blocks);
  UnreserveBlocks(s.table, old);
  c.blocks = std::move(blocks);
  ReserveBlocks(s.table, c.blocks);
  for (const CellBlock& block : old) {
    PromoteBorrowedTasks(s, block.worker);
  }
}

void SwapCellLocations(PlannerState& s, std::int32_t a, std::int32_t b) {
  std::swap(s.cell(a).blocks, s.cell(b).blocks);
}

}  // namespace marjoramplank
