#include "src/planner/occupancy.h"

#include <algorithm>
#include <bit>

namespace marjoramplank {

JobIndex PlannerState::Find(const std::string& id) const {
  const auto it = job_by_id.find(id);
  return it == job_by_id.end() ? kNone : it->second;
}

namespace {

std::int64_t& UsageOf(AccountState& account, TaskMode mode) {
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

bool FirmHolds(const WorkerState& w, AcceleratorMask mask, const Amount& need) {
  return (w.firm.mask & mask) == 0 &&
         (w.Capacity() - w.firm.amount).Covers(need);
}

void EnterFirm(PlannerState& s, const JobRecord& job, PlacedTask& task) {
  const Amount need = AmountOf(job.spec.shape);
  if (task.mode == TaskMode::kGuaranteed) {
    Cell& cell = s.cell(task.cell);
    cell.blocks[static_cast<std::size_t>(task.block)].used.Add(task.mask, need);
    ++cell.tasks;
    return;
  }
  if (!FirmHolds(s.table.worker(task.worker), task.mask, need)) {
    task.mode = TaskMode::kBorrowed;
    return;
  }
  task.mode = TaskMode::kShared;
  s.table.Change(task.worker, [&](WorkerState& w) {
    w.firm.Add(task.mask, need);
    if (job.IsStoppable()) {
      w.demotable.Add(task.mask, need);
    }
  });
}

void LeaveFirm(PlannerState& s, const JobRecord& job, const PlacedTask& task) {
  const Amount need = AmountOf(job.spec.shape);
  if (task.mode == TaskMode::kGuaranteed) {
    Cell& cell = s.cell(task.cell);
    cell.blocks[static_cast<std::size_t>(task.block)].used.Remove(task.mask,
                                                                  need);
    --cell.tasks;
    return;
  }
  if (task.mode == TaskMode::kShared && task.worker != kNone) {
    s.table.Change(task.worker, [&](WorkerState& w) {
      w.firm.Remove(task.mask, need);
      if (job.IsStoppable()) {
        w.demotable.Remove(task.mask, need);
      }
    });
  }
}

// A cell is lost when a block lies on a worker that can hold no guarantee at
// the moment.
bool IsLost(const PlannerState& s, const Cell& cell) {
  return std::any_of(
      cell.blocks.begin(), cell.blocks.end(), [&](const CellBlock& b) {
        return b.worker == kNone || !s.table.IsReservable(b.worker);
      });
}

// Blocks of a cell's size that contain a task and are free in the firm ledger.
std::vector<CellBlock> BlocksAround(const PlannerState& s,
                                    const Cell& cell,
                                    const PlacedTask& task) {
  const WorkerState& w = s.table.worker(task.worker);
  if (cell.size.workers == 1) {
    const std::int32_t size = cell.size.accelerators;
    const std::int32_t at = std::countr_zero(task.mask) / size * size;
    const CellBlock block{.worker = task.worker,
                          .mask = FullMask(size) << at,
                          .amount = ProportionalAmount(w, size)};
    const bool fits = (block.mask & task.mask) == task.mask &&
                      (block.mask & ~w.Full()) == 0 &&
                      FirmHolds(w, block.mask, block.amount);
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
    const bool whole = other.spec.accelerators == cell.size.accelerators &&
                       s.table.IsReservable(i) &&
                       FirmHolds(other, other.Full(), other.Capacity());
    if (whole && blocks.size() < static_cast<std::size_t>(cell.size.workers)) {
      blocks.push_back(
          {.worker = i, .mask = other.Full(), .amount = other.Capacity()});
    }
  }
  const bool around = !blocks.empty() && blocks[0].worker == task.worker;
  return around && blocks.size() == static_cast<std::size_t>(cell.size.workers)
             ? blocks
             : std::vector<CellBlock>{};
}

}  // namespace

void Occupy(PlannerState& s,
            JobIndex i,
            std::vector<PlacedTask> tasks,
            bool claim) {
  JobRecord& job = s.job(i);
  AccountState& account = s.account(job.account);
  const Amount need = AmountOf(job.spec.shape);
  for (PlacedTask& task : tasks) {
    if (!job.IsStoppable() && task.mode != TaskMode::kGuaranteed) {
      DemoteOverlapping(
          s, {.worker = task.worker, .mask = task.mask, .amount = need});
    }
    EnterFirm(s, job, task);
    s.table.Change(task.worker, [&](WorkerState& w) {
      (claim ? w.claims : w.actual).Add(task.mask, need);
      if (!claim) {
        w.jobs.push_back(i);
        w.pinned += job.spec.checkpointable ? 0 : 1;
      }
    });
    UsageOf(account, task.mode) += job.spec.shape.accelerators;
  }
  job.tasks = std::move(tasks);
  ++account.running;
}

bool ConvertClaim(PlannerState& s, JobIndex i) {
  const JobRecord& job = s.job(i);
  const Amount need = AmountOf(job.spec.shape);
  std::map<WorkerIndex, Ledger> wanted;
  for (const PlacedTask& task : job.tasks) {
    wanted[task.worker].Add(task.mask, need);
  }
  for (const auto& [n, want] : wanted) {
    const WorkerState& w = s.table.worker(n);
    if ((w.actual.mask & want.mask) != 0 ||
        !(w.Capacity() - w.actual.amount).Covers(want.amount)) {
      return false;
    }
  }
  for (const PlacedTask& task : job.tasks) {
    s.table.Change(task.worker, [&](WorkerState& w) {
      w.claims.Remove(task.mask, need);
      w.actual.Add(task.mask, need);
      w.jobs.push_back(i);
      w.pinned += job.spec.checkpointable ? 0 : 1;
    });
  }
  return true;
}

void Release(PlannerState& s, JobIndex i) {
  JobRecord& job = s.job(i);
  if (job.tasks.empty()) {
    return;
  }
  AccountState& account = s.account(job.account);
  const Amount need = AmountOf(job.spec.shape);
  const bool claimed = job.phase == JobPhase::kClaiming;
  for (const PlacedTask& task : job.tasks) {
    LeaveFirm(s, job, task);
    UsageOf(account, task.mode) -= job.spec.shape.accelerators;
    if (task.worker == kNone) {
      continue;  // The worker was removed from the inventory.
    }
    s.table.Change(task.worker, [&](WorkerState& w) {
      (claimed ? w.claims : w.actual).Remove(task.mask, need);
      if (!claimed) {
        w.jobs.erase(std::find(w.jobs.begin(), w.jobs.end(), i));
        w.pinned -= job.spec.checkpointable ? 0 : 1;
      }
    });
    if (task.mode == TaskMode::kGuaranteed && s.cell(task.cell).IsIdle() &&
        IsLost(s, s.cell(task.cell))) {
      s.relocate = true;
    }
  }
  const std::vector<PlacedTask> tasks = std::move(job.tasks);
  job.tasks.clear();
  --account.running;
  s.leaving.erase(i);
  std::set<std::int32_t> cells;
  for (const PlacedTask& task : tasks) {
    if (task.mode == TaskMode::kShared && task.worker != kNone) {
      Promote(s, task.worker);
    }
    if (task.mode == TaskMode::kGuaranteed) {
      cells.insert(task.cell);
    }
  }
  for (const std::int32_t c : cells) {
    SendCellHome(s, c);
  }
  CapacityChanged(s);
}

void Demote(PlannerState& s, JobIndex i) {
  JobRecord& job = s.job(i);
  AccountState& account = s.account(job.account);
  for (PlacedTask& task : job.tasks) {
    if (task.mode != TaskMode::kShared) {
      continue;
    }
    LeaveFirm(s, job, task);
    task.mode = TaskMode::kBorrowed;
    account.used_shared -= job.spec.shape.accelerators;
    account.used_borrowed += job.spec.shape.accelerators;
  }
}

void Promote(PlannerState& s, WorkerIndex worker) {
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
      EnterFirm(s, job, task);
      if (task.mode == TaskMode::kShared) {
        s.account(job.account).used_borrowed -= job.spec.shape.accelerators;
        s.account(job.account).used_shared += job.spec.shape.accelerators;
      }
    }
  }
}

bool CanDemoteInto(const PlannerState& s, const CellBlock& block) {
  if (block.worker == kNone || !s.table.IsReservable(block.worker) ||
      s.table.worker(block.worker).drained_for != kNone) {
    return false;
  }
  const WorkerState& w = s.table.worker(block.worker);
  const AcceleratorMask fixed = w.firm.mask & ~w.demotable.mask;
  const Amount free = w.Capacity() - w.firm.amount + w.demotable.amount;
  return (fixed & block.mask) == 0 && free.Covers(block.amount);
}

void DemoteOverlapping(PlannerState& s, const CellBlock& block) {
  const std::vector<JobIndex> jobs = s.table.worker(block.worker).jobs;
  for (const JobIndex i : jobs) {
    const WorkerState& w = s.table.worker(block.worker);
    if (FirmHolds(w, block.mask, block.amount)) {
      return;
    }
    const JobRecord& job = s.job(i);
    if (job.IsStoppable()) {
      Demote(s, i);
    }
  }
}

void LocateCells(PlannerState& s) {
  s.relocate = false;
  std::vector<std::int32_t> order;
  for (std::size_t n = 0; n < s.cells.size(); ++n) {
    const auto i = static_cast<std::int32_t>(n);
    Cell& cell = s.cell(i);
    if (cell.IsIdle() && cell.IsLocated() && IsLost(s, cell)) {
      RemoveFromFirm(s.table, cell.blocks);
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
      cell.blocks = FindLocation(s.table, cell, LocateMode::kDemote);
      for (const CellBlock& block : cell.blocks) {
        DemoteOverlapping(s, block);
      }
    }
    AddToFirm(s.table, cell.blocks);
    if (cell.home.empty()) {
      cell.home = cell.blocks;
    }
  }
}

void CoverWithCell(PlannerState& s,
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
    std::vector<CellBlock> blocks = BlocksAround(s, cell, task);
    if (!blocks.empty()) {
      cell.blocks = std::move(blocks);
      AddToFirm(s.table, cell.blocks);
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

void SendCellHome(PlannerState& s, std::int32_t c) {
  const Cell& cell = s.cell(c);
  if (!cell.IsIdle() || cell.home.empty() ||
      SameBlocks(cell.blocks, cell.home) ||
      !std::all_of(cell.home.begin(), cell.home.end(),
                   [&](const CellBlock& b) { return CanDemoteInto(s, b); })) {
    return;
  }
  const std::vector<CellBlock> home = cell.home;
  for (const CellBlock& block : home) {
    DemoteOverlapping(s, block);
  }
  MoveCell(s, c, home);
}

void MoveCell(PlannerState& s,
              std::int32_t cell,
              std::vector<CellBlock> blocks) {
  Cell& c = s.cell(cell);
  const std::vector<CellBlock> old = std::move(c.blocks);
  RemoveFromFirm(s.table, old);
  c.blocks = std::move(blocks);
  AddToFirm(s.table, c.blocks);
  for (const CellBlock& block : old) {
    Promote(s, block.worker);
  }
}

void SwapCells(PlannerState& s, std::int32_t a, std::int32_t b) {
  std::swap(s.cell(a).blocks, s.cell(b).blocks);
}

}  // namespace marjoramplank
