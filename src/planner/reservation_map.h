#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/planner/worker_table.h"

namespace marjoramplank {

// Part of a cell that lies on one worker.
struct CellBlock {
  WorkerIndex worker = kNone;
  AcceleratorMask mask = 0;
  // The worker's processors, memory and slots in proportion to the
  // accelerators.
  HostResources host_resources;
  ResourceSet used_resources;  // Used by tasks of the cell's account.
};

// Size of a cell: an aligned power-of-two block of one worker, or several whole
// workers of one rack.
struct CellSize {
  std::int32_t accelerators = 0;
  std::int32_t workers = 1;

  friend auto operator<=>(const CellSize&, const CellSize&) = default;
};

// One cell of an account's guarantee. It has a location whenever the workers in
// service can hold it: blocks that overlap no other cell and no task that
// cannot be stopped. The location is fixed while a task of the account runs in
// the cell; an idle cell may be moved.
struct Cell {
  std::int32_t account = kNone;
  CellSize size;
  // Data centres it may lie in. Empty: any.
  std::vector<std::int32_t> data_centres;
  // Empty: the cell has no location at present.
  std::vector<CellBlock> blocks;
  // First location under the current inventory.
  std::vector<CellBlock> initial_blocks;
  std::int32_t task_count = 0;  // Tasks of the account inside the cell.

  bool IsLocated() const { return !blocks.empty(); }
  bool IsIdle() const { return task_count == 0; }
  bool Allows(std::int32_t data_centre) const;
};

// Capacity that a location search may use.
enum class LocateMode {
  kUnreserved,         // Unreserved capacity.
  kUnreservedAndIdle,  // Unreserved capacity without tasks.
  // Also capacity of shared tasks whose jobs are preemptible.
  kAllowDemotion,
};

// Restricts a location search.
struct LocationFilter {
  std::int32_t rack = kNone;  // kNone: any.
  // kNone: any that the cell allows.
  std::int32_t data_centre = kNone;
  // True: skips workers that are being drained.
  bool exclude_drained = false;

  bool Matches(const WorkerState& w) const {
    return (rack == kNone || w.rack == rack) &&
           (data_centre == kNone || w.data_centre == data_centre) &&
           !(exclude_drained && w.drained_for != kNone);
  }
};

// Returns the share of a worker's host resources that belongs to a block of n
// accelerators.
HostResources ProportionalHostResources(const WorkerState& worker,
                                        std::int32_t n);

// Finds the blocks for a cell that leave the largest free blocks whole; empty
// if there are none. Linear in the number of workers, so it is called only when
// a cell is created, loses a worker, or would otherwise cost a running job.
std::vector<CellBlock> FindLocation(const WorkerTable& table,
                                    const Cell& cell,
                                    LocateMode mode,
                                    const LocationFilter& filter = {});

// Adds the blocks of a located cell to the reserved resources of their workers,
// or removes them again.
void ReserveBlocks(WorkerTable& table, const std::vector<CellBlock>& blocks);
void UnreserveBlocks(WorkerTable& table, const std::vector<CellBlock>& blocks);

// Creates the cells of a guarantee, without locations.
std::vector<Cell> MakeCells(const Guarantee& guarantee,
                            std::int32_t account,
                            const WorkerTable& table);

// Order in which cells are located: the most workers first, then the largest
// block, then the fewest allowed data centres. Locating cells one after the
// other in this order succeeds if any order does.
bool PacksBefore(const Cell& a, const Cell& b);

}  // namespace marjoramplank
