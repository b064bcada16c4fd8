#include "src/planner/reservation_map.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace marjoramplank {

bool Cell::Allows(std::int32_t data_centre) const {
  return data_centres.empty() ||
         std::find(data_centres.begin(), data_centres.end(), data_centre) !=
             data_centres.end();
}

HostResources ProportionalHostResources(const WorkerState& worker,
                                        std::int32_t n) {
  const std::int32_t all = std::max(worker.spec.accelerators, 1);
  const auto part = [&](std::int32_t whole) {
    return static_cast<std::int32_t>(std::int64_t{whole} * n / all);
  };
  return {.cores = part(worker.spec.cores),
          .memory_mb = part(worker.spec.memory_mb),
          .slots = part(worker.spec.slots)};
}

namespace {

// Capacity of a worker that a cell may use in the given mode.
FreeCapacity CapacityForCell(const WorkerTable& table,
                             WorkerIndex i,
                             LocateMode mode) {
  const WorkerState& w = table.worker(i);
  AcceleratorMask taken = w.reserved.mask;
  HostResources free = w.HostCapacity() - w.reserved.host_resources;
  if (mode == LocateMode::kAllowDemotion) {
    taken &= ~w.reserved_by_preemptible.mask;
    free += w.reserved_by_preemptible.host_resources;
  }
  if (mode == LocateMode::kUnreservedAndIdle) {
    return table.FreeCapacityOf(i, CapacityScope::kUnreservedFree);
  }
  return {.mask = w.AllAccelerators() & ~taken, .host_resources = free};
}

// Reservable workers of the rack without a reserved accelerator.
std::int32_t CountUnreservedWorkers(const WorkerTable& table,
                                    std::int32_t rack) {
  const std::vector<WorkerIndex>& workers =
      table.racks()[static_cast<std::size_t>(rack)].workers;
  return static_cast<std::int32_t>(
      std::count_if(workers.begin(), workers.end(), [&](WorkerIndex i) {
        return table.IsReservable(i) && table.worker(i).reserved.mask == 0;
      }));
}

std::vector<CellBlock> FindBlock(const WorkerTable& table,
                                 const Cell& cell,
                                 LocateMode mode,
                                 const LocationFilter& filter) {
  CellBlock best;
  std::tuple<std::int32_t, std::int32_t, std::int32_t, bool> best_score{
      std::numeric_limits<std::int32_t>::max(), 0, 0, false};
  for (std::size_t n = 0; n < table.workers().size(); ++n) {
    const auto i = static_cast<WorkerIndex>(n);
    const WorkerState& w = table.worker(i);
    if (!table.IsReservable(i) || !cell.Allows(w.data_centre) ||
        !filter.Matches(w) || w.spec.accelerators < cell.size.accelerators) {
      continue;
    }
    const FreeCapacity available = CapacityForCell(table, i, mode);
    const HostResources needed =
        ProportionalHostResources(w, cell.size.accelerators);
    if (!available.host_resources.Covers(needed)) {
      continue;
    }
    const AcceleratorMask mask =
        PickBlock(available.mask, cell.size.accelerators);
    if (mask == 0) {
      continue;
    }
    const std::int32_t largest = LargestFreeBlockClass(available.mask);
    if (largest > std::get<0>(best_score)) {
      continue;
    }
    const std::tuple score{largest, CountUnreservedWorkers(table, w.rack),
                           std::popcount(available.mask),
                           (w.allocated.mask & mask) != 0};
    if (score < best_score) {
      best_score = score;
      best = {.worker = i,
              .mask = mask,
              .host_resources = needed,
              .used_resources = {}};
    }
  }
  return best.worker == kNone ? std::vector<CellBlock>{} : std::vector{best};
}

std::vector<CellBlock> FindWholeWorkers(const WorkerTable& table,
                                        const Cell& cell,
                                        LocateMode mode,
                                        const LocationFilter& filter) {
  std::vector<CellBlock> best;
  std::size_t best_rest = std::numeric_limits<std::size_t>::max();
  const auto wanted = static_cast<std::size_t>(cell.size.workers);
  for (const RackState& rack : table.racks()) {
    if (!cell.Allows(rack.data_centre) || rack.workers.empty() ||
        !filter.Matches(table.worker(rack.workers[0]))) {
      continue;
    }
    std::vector<CellBlock> blocks;
    for (const WorkerIndex i : rack.workers) {
      const WorkerState& w = table.worker(i);
      const FreeCapacity available = CapacityForCell(table, i, mode);
      if (table.IsReservable(i) &&
          w.spec.accelerators == cell.size.accelerators &&
          available.mask == w.AllAccelerators() &&
          available.host_resources.Covers(w.HostCapacity())) {
        blocks.push_back({.worker = i,
                          .mask = w.AllAccelerators(),
                          .host_resources = w.HostCapacity(),
                          .used_resources = {}});
      }
    }
    if (blocks.size() < wanted || blocks.size() - wanted >= best_rest) {
      continue;
    }
    best_rest = blocks.size() - wanted;
    blocks.resize(wanted);
    best = std::move(blocks);
  }
  return best;
}

}  // namespace

std::vector<CellBlock> FindLocation(const WorkerTable& table,
                                    const Cell& cell,
                                    LocateMode mode,
                                    const LocationFilter& filter) {
  return cell.size.workers > 1 ? FindWholeWorkers(table, cell, mode, filter)
                               : FindBlock(table, cell, mode, filter);
}

void ReserveBlocks(WorkerTable& table, const std::vector<CellBlock>& blocks) {
  for (const CellBlock& block : blocks) {
    table.UpdateWorker(block.worker, [&](WorkerState& w) {
      w.reserved.Add(block.mask, block.host_resources);
    });
  }
}

void UnreserveBlocks(WorkerTable& table, const std::vector<CellBlock>& blocks) {
  for (const CellBlock& block : blocks) {
    if (block.worker != kNone) {
      table.UpdateWorker(block.worker, [&](WorkerState& w) {
        w.reserved.Remove(block.mask, block.host_resources);
      });
    }
  }
}

std::vector<Cell> MakeCells(const Guarantee& guarantee,
                            std::int32_t account,
                            const WorkerTable& table) {
  Cell cell{.account = account,
            .size = {.accelerators = guarantee.accelerators,
                     .workers = guarantee.workers}};
  for (const std::string& name : guarantee.data_centres) {
    if (const std::int32_t dc = table.FindDataCentre(name); dc != kNone) {
      cell.data_centres.push_back(dc);
    }
  }
  const bool elsewhere =
      !guarantee.data_centres.empty() && cell.data_centres.empty();
  return std::vector<Cell>(
      elsewhere ? 0 : static_cast<std::size_t>(guarantee.count), cell);
}

bool PacksBefore(const Cell& a, const Cell& b) {
  const auto key = [](const Cell& c) {
    const std::size_t freedom = c.data_centres.empty()
                                    ? std::numeric_limits<std::size_t>::max()
                                    : c.data_centres.size();
    return std::tuple{-c.size.workers, -c.size.accelerators, freedom};
  };
  return key(a) < key(b);
}

}  // namespace marjoramplank
