#include "src/planner/worker_table.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace marjoramplank {

namespace {

constexpr std::array<CapacityScope, 2> kCapacityScopes = {
    CapacityScope::kUnreservedFree, CapacityScope::kAnyFree};

std::size_t ScopeIndex(CapacityScope scope) {
  return scope == CapacityScope::kUnreservedFree ? 0 : 1;
}

}  // namespace

std::vector<WorkerIndex> WorkerTable::SetInventory(const Inventory& inventory,
                                                   const std::string& region) {
  std::vector<std::string> old_names;
  std::unordered_map<std::string, WorkerState> old;
  for (WorkerState& w : workers_) {
    std::string name = w.spec.name;
    old_names.push_back(name);
    old.emplace(std::move(name), std::move(w));
  }
  std::map<std::string, DataCentreState> old_data_centres;
  for (DataCentreState& dc : data_centres_) {
    std::string name = dc.spec.name;
    old_data_centres.emplace(std::move(name), std::move(dc));
  }
  workers_.clear();
  racks_.clear();
  data_centres_.clear();
  worker_by_name_.clear();
  data_centre_by_name_.clear();

  for (const DataCentreSpec& spec : inventory.data_centres) {
    if (!region.empty() && spec.region != region) {
      continue;
    }
    DataCentreState dc{.spec = spec};
    if (const auto it = old_data_centres.find(spec.name);
        it != old_data_centres.end()) {
      dc.out_of_service_since = it->second.out_of_service_since;
      dc.is_ramping_up = it->second.is_ramping_up;
      dc.ramp_tokens = it->second.ramp_tokens;
      dc.ramp_started_at = it->second.ramp_started_at;
      dc.ramp_updated_at = it->second.ramp_updated_at;
    }
    data_centre_by_name_[spec.name] =
        static_cast<std::int32_t>(data_centres_.size());
    data_centres_.push_back(std::move(dc));
  }
  std::vector<const WorkerSpec*> specs;
  for (const WorkerSpec& spec : inventory.workers) {
    if (data_centre_by_name_.contains(spec.data_centre)) {
      specs.push_back(&spec);
    }
  }
  std::map<std::string, std::size_t> rack_size;
  for (const WorkerSpec* spec : specs) {
    ++rack_size[spec->rack];
  }
  // Workers are searched in this order: those of the smallest racks first, so
  // that large racks stay whole for gangs.
  const auto key = [&](const WorkerSpec* w) {
    return std::tie(w->data_centre, rack_size.at(w->rack), w->rack);
  };
  std::stable_sort(specs.begin(), specs.end(),
                   [&](const WorkerSpec* a, const WorkerSpec* b) {
                     return key(a) < key(b);
                   });
  std::map<std::string, std::int32_t> rack_by_name;
  for (const WorkerSpec* spec : specs) {
    const std::int32_t dc = data_centre_by_name_[spec->data_centre];
    const auto [it, added] = rack_by_name.emplace(
        spec->rack, static_cast<std::int32_t>(racks_.size()));
    if (added) {
      racks_.push_back({.name = spec->rack, .data_centre = dc, .workers = {}});
      data_centre(dc).racks.push_back(it->second);
    }
    WorkerState w;
    if (const auto kept = old.find(spec->name); kept != old.end()) {
      w = std::move(kept->second);
    }
    w.spec = *spec;
    w.rack = it->second;
    w.data_centre = dc;
    const auto i = static_cast<WorkerIndex>(workers_.size());
    racks_[static_cast<std::size_t>(it->second)].workers.push_back(i);
    data_centre(dc).workers.push_back(i);
    data_centre(dc).quarantined_workers += w.quarantined ? 1 : 0;
    worker_by_name_[spec->name] = i;
    workers_.push_back(std::move(w));
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    AddToIndex(static_cast<WorkerIndex>(i));
  }
  std::vector<WorkerIndex> new_indices;
  new_indices.reserve(old_names.size());
  for (const std::string& name : old_names) {
    new_indices.push_back(FindWorker(name));
  }
  return new_indices;
}

WorkerIndex WorkerTable::FindWorker(const std::string& name) const {
  const auto it = worker_by_name_.find(name);
  return it == worker_by_name_.end() ? kNone : it->second;
}

std::int32_t WorkerTable::FindDataCentre(const std::string& name) const {
  const auto it = data_centre_by_name_.find(name);
  return it == data_centre_by_name_.end() ? kNone : it->second;
}

bool WorkerTable::IsReservable(WorkerIndex i) const {
  const WorkerState& w = worker(i);
  return w.up && !w.spec.cordoned && !w.quarantined &&
         !data_centres_[static_cast<std::size_t>(w.data_centre)]
              .spec.out_of_service;
}

bool WorkerTable::IsOpen(WorkerIndex i) const {
  const WorkerState& w = worker(i);
  return IsReservable(i) && w.drained_for == kNone &&
         !(w.on_probation && !w.jobs.empty());
}

FreeCapacity WorkerTable::FreeCapacityOf(WorkerIndex i,
                                         CapacityScope scope) const {
  const WorkerState& w = worker(i);
  AcceleratorMask taken = w.allocated.mask | w.claimed.mask;
  HostResources free =
      w.HostCapacity() - w.allocated.host_resources - w.claimed.host_resources;
  if (scope == CapacityScope::kUnreservedFree) {
    taken |= w.reserved.mask;
    const HostResources unreserved =
        w.HostCapacity() - w.reserved.host_resources;
    free.cores = std::min(free.cores, unreserved.cores);
    free.memory_mb = std::min(free.memory_mb, unreserved.memory_mb);
    free.slots = std::min(free.slots, unreserved.slots);
  }
  return {.mask = w.AllAccelerators() & ~taken, .host_resources = free};
}

void WorkerTable::SetDataCentre(std::int32_t i, const DataCentreSpec& spec) {
  const std::vector<WorkerIndex> workers = data_centre(i).workers;
  for (const WorkerIndex w : workers) {
    RemoveFromIndex(w);
  }
  data_centre(i).spec = spec;
  for (const WorkerIndex w : workers) {
    AddToIndex(w);
  }
}

namespace {

// Workers without a free processor, memory or slot are left out of the indices,
// as no task fits on them.
bool CanHoldAnyTask(const FreeCapacity& free) {
  return free.host_resources.cores > 0 && free.host_resources.memory_mb > 0 &&
         free.host_resources.slots > 0;
}

}  // namespace

void WorkerTable::UpdateIndex(WorkerIndex i, bool add) {
  if (!IsOpen(i)) {
    return;
  }
  DataCentreState& dc = data_centre(worker(i).data_centre);
  for (const CapacityScope scope : kCapacityScopes) {
    const FreeCapacity free = FreeCapacityOf(i, scope);
    if (!CanHoldAnyTask(free)) {
      continue;
    }
    auto& open = dc.open_workers[ScopeIndex(scope)][static_cast<std::size_t>(
        LargestFreeBlockClass(free.mask))];
    const std::int64_t accelerators = std::popcount(free.mask);
    if (add) {
      open.insert(i);
    } else {
      open.erase(i);
    }
    dc.free_accelerators[ScopeIndex(scope)] +=
        add ? accelerators : -accelerators;
  }
}

void WorkerTable::AddToIndex(WorkerIndex i) {
  UpdateIndex(i, true);
}

void WorkerTable::RemoveFromIndex(WorkerIndex i) {
  UpdateIndex(i, false);
}

}  // namespace marjoramplank
