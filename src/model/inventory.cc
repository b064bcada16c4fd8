#include "marjoramplank/inventory.h"

#include <algorithm>
#include <bit>

namespace marjoramplank {

namespace {

constexpr std::int32_t kMaxAcceleratorsPerWorker = 16;
constexpr std::int32_t kMaxSlotsPerWorker = 1024;
constexpr std::size_t kMaxNameBytes = 128;
constexpr Duration kMaxRunTime = 24h * 365;

template <typename T>
const T* FindByName(const std::vector<T>& all, const std::string& name) {
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const T& t) { return t.name == name; });
  return it == all.end() ? nullptr : &*it;
}

std::string FieldPath(const char* list, std::size_t i, const char* field) {
  return std::string(list) + "[" + std::to_string(i) + "]." + field;
}

void CheckName(const std::string& name,
               const std::string& path,
               std::set<std::string>& seen,
               std::vector<FieldError>& out) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    out.push_back(
        {path, "must have 1 to " + std::to_string(kMaxNameBytes) + " bytes"});
  } else if (!seen.insert(name).second) {
    out.push_back({path, "repeats the name " + name});
  }
}

void CheckRange(std::int64_t value,
                std::int64_t low,
                std::int64_t high,
                const std::string& path,
                std::vector<FieldError>& out) {
  if (value < low || value > high) {
    out.push_back({path, "must be between " + std::to_string(low) + " and " +
                             std::to_string(high) + ", is " +
                             std::to_string(value)});
  }
}

void CheckWorkers(const Inventory& inventory,
                  const std::set<std::string>& data_centres,
                  std::vector<FieldError>& out) {
  std::set<std::string> names;
  std::map<std::string, std::string> data_centre_by_rack;
  for (std::size_t i = 0; i < inventory.workers.size(); ++i) {
    const WorkerSpec& w = inventory.workers[i];
    CheckName(w.name, FieldPath("workers", i, "name"), names, out);
    if (w.rack.empty()) {
      out.push_back({FieldPath("workers", i, "rack"), "must not be empty"});
    }
    if (!data_centres.contains(w.data_centre)) {
      out.push_back({FieldPath("workers", i, "data_centre"),
                     "names no listed data centre: " + w.data_centre});
    }
    const auto [it, added] = data_centre_by_rack.emplace(w.rack, w.data_centre);
    if (!added && it->second != w.data_centre) {
      out.push_back(
          {FieldPath("workers", i, "rack"),
           "rack " + w.rack + " also stands in data centre " + it->second});
    }
    CheckRange(w.cores, 1, 1 << 16, FieldPath("workers", i, "cores"), out);
    CheckRange(w.memory_mb, 1, 1 << 28, FieldPath("workers", i, "memory_mb"),
               out);
    CheckRange(w.accelerators, 0, kMaxAcceleratorsPerWorker,
               FieldPath("workers", i, "accelerators"), out);
    CheckRange(w.slots, 1, kMaxSlotsPerWorker, FieldPath("workers", i, "slots"),
               out);
  }
}

void CheckGuarantee(const Guarantee& g,
                    const std::string& path,
                    const std::set<std::string>& data_centres,
                    std::vector<FieldError>& out) {
  CheckRange(g.accelerators, 1, kMaxAcceleratorsPerWorker,
             path + ".accelerators", out);
  if (g.accelerators > 0 && g.workers == 1 &&
      !std::has_single_bit(static_cast<std::uint32_t>(g.accelerators))) {
    out.push_back(
        {path + ".accelerators",
         "must be a power of two: adjacent accelerators come in such blocks"});
  }
  CheckRange(g.workers, 1, kMaxGangTasks, path + ".workers", out);
  CheckRange(g.count, 1, 1 << 16, path + ".count", out);
  for (const std::string& name : g.data_centres) {
    if (!data_centres.contains(name)) {
      out.push_back(
          {path + ".data_centres", "names no listed data centre: " + name});
    }
  }
}

void CheckAccounts(const Inventory& inventory,
                   const std::set<std::string>& data_centres,
                   std::vector<FieldError>& out) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < inventory.accounts.size(); ++i) {
    const AccountSpec& a = inventory.accounts[i];
    CheckName(a.name, FieldPath("accounts", i, "name"), names, out);
    CheckRange(a.max_queued, 0, 1 << 24, FieldPath("accounts", i, "max_queued"),
               out);
    CheckRange(a.max_accelerators_per_job, 0, 1 << 24,
               FieldPath("accounts", i, "max_accelerators_per_job"), out);
    for (std::size_t g = 0; g < a.guarantees.size(); ++g) {
      CheckGuarantee(a.guarantees[g],
                     FieldPath("accounts", i, "guarantees") + "[" +
                         std::to_string(g) + "]",
                     data_centres, out);
    }
  }
}

// Number of tasks of the shape that fit on an empty worker.
std::int64_t MaxTasksOnEmptyWorker(const WorkerSpec& w,
                                   const TaskShape& shape) {
  std::int64_t n =
      std::min<std::int64_t>(w.slots, w.cores / std::max(shape.cores, 1));
  n = std::min<std::int64_t>(n, w.memory_mb / std::max(shape.memory_mb, 1));
  if (shape.accelerators > 0) {
    n = std::min<std::int64_t>(
        n,
        w.accelerators / static_cast<std::int32_t>(std::bit_ceil(
                             static_cast<std::uint32_t>(shape.accelerators))));
    if (n == 0 && w.accelerators >= shape.accelerators && w.slots > 0 &&
        w.cores >= shape.cores && w.memory_mb >= shape.memory_mb) {
      n = 1;
    }
  }
  return n;
}

// Largest gang of the requested shape, locality and region that fits while
// nothing else runs.
std::int64_t LargestGang(const JobSpec& spec, const Inventory& inventory) {
  std::map<std::string, std::int64_t> groups;
  std::int64_t largest = 0;
  for (const WorkerSpec& w : inventory.workers) {
    const DataCentreSpec* const dc = inventory.FindDataCentre(w.data_centre);
    if (dc == nullptr || (!spec.region.empty() && dc->region != spec.region)) {
      continue;
    }
    std::string group;
    switch (spec.adjacency) {
      case Adjacency::kWorker:
        group = w.name;
        break;
      case Adjacency::kRack:
        group = w.rack;
        break;
      case Adjacency::kDataCentre:
        group = w.data_centre;
        break;
      case Adjacency::kRegion:
        group = dc->region;
        break;
    }
    largest = std::max(largest,
                       groups[group] += MaxTasksOnEmptyWorker(w, spec.shape));
  }
  return largest;
}

std::int64_t GuaranteedAccelerators(const AccountSpec& account) {
  std::int64_t n = 0;
  for (const Guarantee& g : account.guarantees) {
    n += std::int64_t{g.accelerators} * g.workers * g.count;
  }
  return n;
}

// Accelerators available to a job that can be neither run again nor resumed. It
// must not borrow: preempting it to return guaranteed capacity to another
// account would lose its work.
std::int64_t MaxNonPreemptibleAccelerators(const JobSpec& spec,
                                           const Inventory& inventory) {
  std::int64_t total = 0;
  std::int64_t guaranteed = 0;
  for (const WorkerSpec& w : inventory.workers) {
    total += w.accelerators;
  }
  for (const AccountSpec& a : inventory.accounts) {
    guaranteed += GuaranteedAccelerators(a);
  }
  return std::max(total - guaranteed,
                  GuaranteedAccelerators(*inventory.FindAccount(spec.account)));
}

// Ids appear in log lines and URL paths, where a control character would be
// invisible.
void CheckNoControlCharacters(const std::string& text,
                              const std::string& path,
                              std::vector<FieldError>& out) {
  constexpr unsigned char kFirstPrintable = 0x20;
  const bool has_control_character = std::any_of(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < kFirstPrintable; });
  if (has_control_character) {
    out.push_back({path, "must not contain control characters"});
  }
}

}  // namespace

const DataCentreSpec* Inventory::FindDataCentre(const std::string& name) const {
  return FindByName(data_centres, name);
}

const WorkerSpec* Inventory::FindWorker(const std::string& name) const {
  return FindByName(workers, name);
}

const AccountSpec* Inventory::FindAccount(const std::string& name) const {
  return FindByName(accounts, name);
}

std::vector<FieldError> CheckInventory(const Inventory& inventory) {
  std::vector<FieldError> out;
  std::set<std::string> data_centres;
  for (std::size_t i = 0; i < inventory.data_centres.size(); ++i) {
    const DataCentreSpec& dc = inventory.data_centres[i];
    CheckName(dc.name, FieldPath("data_centres", i, "name"), data_centres, out);
    if (dc.region.empty()) {
      out.push_back(
          {FieldPath("data_centres", i, "region"), "must not be empty"});
    }
    CheckRange(dc.grace_period.count(), 0, Duration{24h}.count(),
               FieldPath("data_centres", i, "grace_ms"), out);
  }
  CheckWorkers(inventory, data_centres, out);
  CheckAccounts(inventory, data_centres, out);
  CheckRange(inventory.max_queued, 0, 1 << 24, "max_queued", out);
  return out;
}

std::vector<FieldError> CheckJobFields(const JobSpec& spec) {
  std::vector<FieldError> out;
  if (spec.request_id.empty() || spec.request_id.size() > kMaxRequestIdBytes) {
    out.push_back(
        {"request_id",
         "must have 1 to " + std::to_string(kMaxRequestIdBytes) + " bytes"});
  }
  CheckNoControlCharacters(spec.request_id, "request_id", out);
  CheckNoControlCharacters(spec.account, "account", out);
  CheckRange(spec.tasks, 1, kMaxGangTasks, "tasks", out);
  CheckRange(spec.shape.cores, 0, 1 << 16, "cores", out);
  CheckRange(spec.shape.memory_mb, 0, 1 << 28, "memory_mb", out);
  CheckRange(spec.shape.accelerators, 0, kMaxAcceleratorsPerWorker,
             "accelerators", out);
  CheckRange(spec.expected_run_time.count(), 1, kMaxRunTime.count(),
             "expected_run_time_ms", out);
  CheckRange(spec.queue_deadline.count(), 0, kMaxRunTime.count(),
             "queue_deadline_ms", out);
  if (spec.payload.size() > kMaxPayloadBytes) {
    out.push_back({"payload", "must have at most " +
                                  std::to_string(kMaxPayloadBytes) + " bytes"});
  }
  return out;
}

std::vector<FieldError> CheckJobSpec(const JobSpec& spec,
                                     const Inventory& inventory) {
  std::vector<FieldError> out = CheckJobFields(spec);
  const AccountSpec* const account = inventory.FindAccount(spec.account);
  if (account == nullptr) {
    out.push_back({"account", "no such client account: " + spec.account});
  }
  const auto is_requested_region = [&](const DataCentreSpec& dc) {
    return dc.region == spec.region;
  };
  if (!spec.region.empty() &&
      std::none_of(inventory.data_centres.begin(), inventory.data_centres.end(),
                   is_requested_region)) {
    out.push_back({"region", "no such region: " + spec.region});
  }
  const std::int64_t accelerators =
      std::int64_t{spec.tasks} * spec.shape.accelerators;
  if (account != nullptr && account->max_accelerators_per_job > 0 &&
      accelerators > account->max_accelerators_per_job) {
    out.push_back(
        {"tasks", "asks for " + std::to_string(accelerators) +
                      " accelerators; the account may claim " +
                      std::to_string(account->max_accelerators_per_job)});
  }
  if (out.empty() && !spec.idempotent && !spec.checkpointable) {
    const std::int64_t available =
        MaxNonPreemptibleAccelerators(spec, inventory);
    if (available < std::max<std::int64_t>(accelerators, 1)) {
      out.push_back(
          {"idempotent",
           "can never run: it can be neither repeated nor resumed, so it may "
           "not borrow, and only " +
               std::to_string(available) +
               " accelerators are promised to nobody or to the account"});
    }
  }
  if (out.empty()) {
    const std::int64_t largest = LargestGang(spec, inventory);
    if (largest < spec.tasks) {
      out.push_back({"tasks", std::string("can never run: one ") +
                                  ToString(spec.adjacency) + " holds at most " +
                                  std::to_string(largest) +
                                  " such tasks, the gang has " +
                                  std::to_string(spec.tasks)});
    }
  }
  return out;
}

}  // namespace marjoramplank
