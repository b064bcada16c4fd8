#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/job_spec.h"

namespace marjoramplank {

// One worker of the operators' asset register, and the limits of the endpoint
// on it.
struct WorkerSpec {
  std::string name;               // Unique. Required.
  std::string rack;               // Unique over all data centres. Required.
  std::string data_centre;        // One of Inventory::data_centres. Required.
  std::int32_t cores = 0;         // Processors.
  std::int32_t memory_mb = 0;     // Memory in MiB.
  std::int32_t accelerators = 0;  // 0 to 16.
  std::int32_t slots = 8;         // Tasks the endpoint takes at once.
  bool cordoned = false;          // True: no new task starts on it.

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

struct DataCentreSpec {
  std::string name;             // Unique. Required.
  std::string region;           // Planning domain. Required.
  bool out_of_service = false;  // True: nothing starts there.
  Duration grace{300'000};      // Time to end or move once it is taken out.

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

// Capacity promised to a client account: `count` cells, each a block of
// adjacent accelerators.
struct Guarantee {
  std::int32_t accelerators = 0;  // Of a cell in each worker, a power of two.
  std::int32_t workers = 1;       // More than 1: whole workers of one rack.
  std::int32_t count = 1;         // Number of cells.
  std::vector<std::string> data_centres;  // Where cells may lie. Empty: any.

  friend bool operator==(const Guarantee&, const Guarantee&) = default;
};

// A client account with its guarantees and limits.
struct AccountSpec {
  std::string name;                   // Unique. Required.
  std::vector<Guarantee> guarantees;  // Capacity that can always be reclaimed.
  std::int32_t max_queued = 10'000;   // Waiting jobs; more are refused.
  std::int32_t max_accelerators_per_job = 0;  // Largest gang. 0: no limit.
  bool may_borrow = true;  // False: inside its guarantees only.

  friend bool operator==(const AccountSpec&, const AccountSpec&) = default;
};

// The operators' document: what exists, what was promised, what is out of
// service. Published on the platform's log.
struct Inventory {
  std::vector<DataCentreSpec> data_centres;
  std::vector<WorkerSpec> workers;
  std::vector<AccountSpec> accounts;
  std::int32_t max_queued = 200'000;  // Waiting jobs of all accounts together.

  const DataCentreSpec* FindDataCentre(
      const std::string& name) const;  // nullptr: no such data centre.
  const WorkerSpec* FindWorker(
      const std::string& name) const;  // nullptr: no such worker.
  const AccountSpec* FindAccount(
      const std::string& name) const;  // nullptr: no such account.

  friend bool operator==(const Inventory&, const Inventory&) = default;
};

// A fault in a document or request, with the path of the field, for example
// "workers[3].cores".
struct FieldError {
  std::string path;
  std::string message;

  friend bool operator==(const FieldError&, const FieldError&) = default;
};

// Finds every fault of a document by itself: empty or repeated names, dangling
// references, values out of range.
std::vector<FieldError> CheckInventory(const Inventory& inventory);

// What can be said of a request without an inventory: ids, ranges, sizes.
std::vector<FieldError> CheckJobFields(const JobSpec& spec);

// Finds every fault of a request against the inventory: unknown account,
// oversized gang, a shape that no data centre could hold even when empty. An
// empty list means that the job can run when its resources are free.
std::vector<FieldError> CheckJobSpec(const JobSpec& spec,
                                     const Inventory& inventory);

}  // namespace marjoramplank
