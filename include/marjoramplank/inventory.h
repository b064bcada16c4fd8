#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/job_spec.h"

namespace marjoramplank {

// A worker of the operators' asset register, with the limits of its endpoint.
struct WorkerSpec {
  std::string name;               // Unique. Required.
  std::string rack;               // Unique across data centres. Required.
  std::string data_centre;        // One of Inventory::data_centres. Required.
  std::int32_t cores = 0;         // Processors.
  std::int32_t memory_mb = 0;     // Memory in MiB.
  std::int32_t accelerators = 0;  // 0 to 16.
  std::int32_t slots = 8;         // Tasks that the endpoint runs concurrently.
  bool cordoned = false;          // True: no new task starts here.

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

struct DataCentreSpec {
  std::string name;             // Unique. Required.
  std::string region;           // Planning domain. Required.
  bool out_of_service = false;  // True: no new task starts here.
  // Time in ms that running jobs have to end or move once it goes out of
  // service.
  Duration grace_period{300'000};

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

// Capacity guaranteed to a client account: `count` cells, each a block of
// adjacent accelerators.
struct Guarantee {
  // Accelerators of a cell on each of its workers. A power of two if the cell
  // lies on a single worker.
  std::int32_t accelerators = 0;
  std::int32_t workers = 1;  // More than 1: whole workers of one rack.
  std::int32_t count = 1;    // Number of cells.
  std::vector<std::string> data_centres;  // Allowed locations. Empty: any.

  friend bool operator==(const Guarantee&, const Guarantee&) = default;
};

// A client account with its guarantees and limits.
struct AccountSpec {
  std::string name;                   // Unique. Required.
  std::vector<Guarantee> guarantees;  // Capacity that the account can reclaim.
  std::int32_t max_queued = 10'000;   // Queued jobs; more are rejected.
  std::int32_t max_accelerators_per_job = 0;  // Largest gang. 0: no limit.
  bool may_borrow = true;  // False: limited to its guarantees.

  friend bool operator==(const AccountSpec&, const AccountSpec&) = default;
};

// The operators' configuration document: capacity, guarantees, and what is out
// of service. Published in the platform's log.
struct Inventory {
  std::vector<DataCentreSpec> data_centres;
  std::vector<WorkerSpec> workers;
  std::vector<AccountSpec> accounts;
  std::int32_t max_queued = 200'000;  // Queued jobs of all accounts.

  // Look up by name. Return nullptr if there is no such item.
  const DataCentreSpec* FindDataCentre(const std::string& name) const;
  const WorkerSpec* FindWorker(const std::string& name) const;
  const AccountSpec* FindAccount(const std::string& name) const;

  friend bool operator==(const Inventory&, const Inventory&) = default;
};

// A validation error of a document or request, with the path of the field, for
// example "workers[3].cores".
struct FieldError {
  std::string path;
  std::string message;

  friend bool operator==(const FieldError&, const FieldError&) = default;
};

// Validates a document. Returns every error: empty or duplicate names, dangling
// references, values out of range.
std::vector<FieldError> CheckInventory(const Inventory& inventory);

// Validates the parts of a request that need no inventory: ids, ranges, sizes.
std::vector<FieldError> CheckJobFields(const JobSpec& spec);

// Validates a request against the inventory. Returns every error: an unknown
// account, an oversized gang, a shape that would not fit even into an empty
// data centre. An empty list means that the job can run once resources are
// free.
std::vector<FieldError> CheckJobSpec(const JobSpec& spec,
                                     const Inventory& inventory);

}  // namespace marjoramplank
