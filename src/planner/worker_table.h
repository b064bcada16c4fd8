#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramplank/inventory.h"
#include "src/planner/accelerator_mask.h"
#include "src/planner/host_resources.h"

namespace marjoramplank {

using WorkerIndex = std::int32_t;
using JobIndex = std::int32_t;
inline constexpr std::int32_t kNone = -1;

// A set of resources of one worker.
struct ResourceSet {
  AcceleratorMask mask = 0;
  HostResources host_resources;

  void Add(AcceleratorMask m, const HostResources& a) {
    mask |= m;
    host_resources += a;
  }
  void Remove(AcceleratorMask m, const HostResources& a) {
    mask &= ~m;
    host_resources -= a;
  }
};

// State of a worker. Its resources are accounted for in three sets:
// - reserved: cells, and shared tasks; nobody else can be guaranteed these.
// - allocated: tasks that run or are being started.
// - claimed: tasks that wait for preemption victims to stop before they start.
struct WorkerState {
  WorkerSpec spec;
  std::int32_t rack = kNone;         // Index of the rack.
  std::int32_t data_centre = kNone;  // Index of the data centre.
  // The agent sends heartbeats and is not shutting down.
  bool up = false;
  bool quarantined = false;
  // Back from quarantine: takes one task at a time until one succeeds.
  bool on_probation = false;
  // Blocked gang that the worker is drained for. kNone: none.
  JobIndex drained_for = kNone;
  ResourceSet reserved;
  // Part of `reserved` that shared tasks of preemptible jobs hold.
  ResourceSet reserved_by_preemptible;
  ResourceSet allocated;
  ResourceSet claimed;
  // Allocated tasks that are not checkpointable.
  std::int32_t unmovable_tasks = 0;
  std::vector<JobIndex> jobs;  // One entry per allocated task.

  HostResources HostCapacity() const {
    return {
        .cores = spec.cores, .memory_mb = spec.memory_mb, .slots = spec.slots};
  }
  AcceleratorMask AllAccelerators() const {
    return FullMask(spec.accelerators);
  }
};

// Capacity that a placement may use.
enum class CapacityScope {
  kUnreservedFree,  // Free and not reserved.
  kAnyFree,         // Free, whether reserved or not.
};

// Free resources of a worker within one capacity scope.
struct FreeCapacity {
  AcceleratorMask mask = 0;
  HostResources host_resources;
};

struct DataCentreState {
  DataCentreSpec spec;
  std::vector<std::int32_t> racks;   // Indices of its racks.
  std::vector<WorkerIndex> workers;  // Indices of its workers, rack by rack.
  std::int32_t quarantined_workers = 0;
  // When it was last taken out of service.
  Time out_of_service_since{0};
  // Recently returned to service; takes load gradually.
  bool is_ramping_up = false;
  double ramp_tokens = 0;  // Starts allowed now while ramping up.
  Time ramp_started_at{0};
  Time ramp_updated_at{0};
  // Open workers by capacity scope and class of their largest free block.
  std::array<std::array<std::set<WorkerIndex>, kBlockClasses>, 2> open_workers;
  // Free accelerators of the open workers, by capacity scope.
  std::array<std::int64_t, 2> free_accelerators{};
};

struct RackState {
  std::string name;
  std::int32_t data_centre = kNone;
  std::vector<WorkerIndex> workers;
};

// Workers, racks and data centres of the planned region, indexed so that the
// cost of a search barely depends on their number.
class WorkerTable {
 public:
  // Replaces the workers; the state of those that remain is kept. `region`
  // empty: all data centres. Returns the new index for each old one, kNone for
  // a removed worker.
  std::vector<WorkerIndex> SetInventory(const Inventory& inventory,
                                        const std::string& region);

  // kNone: unknown, or in another region.
  WorkerIndex FindWorker(const std::string& name) const;
  std::int32_t FindDataCentre(const std::string& name) const;

  const WorkerState& worker(WorkerIndex i) const {
    return workers_[static_cast<std::size_t>(i)];
  }
  const std::vector<WorkerState>& workers() const { return workers_; }
  const std::vector<RackState>& racks() const { return racks_; }
  const std::vector<DataCentreState>& data_centres() const {
    return data_centres_;
  }
  DataCentreState& data_centre(std::int32_t i) {
    return data_centres_[static_cast<std::size_t>(i)];
  }

  // True when new tasks may start on the worker.
  bool IsOpen(WorkerIndex i) const;
  // True when the worker is up and in service, so that cells may be located on
  // it.
  bool IsReservable(WorkerIndex i) const;
  FreeCapacity FreeCapacityOf(WorkerIndex i, CapacityScope scope) const;

  // Modifies a worker through `change` and updates the indices.
  template <typename F>
  void UpdateWorker(WorkerIndex i, F change) {
    RemoveFromIndex(i);
    change(workers_[static_cast<std::size_t>(i)]);
    AddToIndex(i);
  }

  // Replaces the specification of a data centre; its workers stay.
  void SetDataCentre(std::int32_t i, const DataCentreSpec& spec);

 private:
  void UpdateIndex(WorkerIndex i, bool add);
  void AddToIndex(WorkerIndex i);
  void RemoveFromIndex(WorkerIndex i);

  std::vector<WorkerState> workers_;
  std::vector<RackState> racks_;
  std::vector<DataCentreState> data_centres_;
  std::unordered_map<std::string, WorkerIndex> worker_by_name_;
  std::map<std::string, std::int32_t> data_centre_by_name_;
};

}  // namespace marjoramplank
