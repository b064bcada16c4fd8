#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramplank/inventory.h"
#include "marjoramplank/time.h"

namespace marjoramplank::bench {

// A job of a workload: the request, and its true run time.
struct SimJob {
  std::string id;
  JobSpec spec;
  Time arrives_at{0};
  Duration true_run_time{0};
};

// Period in which a data centre is out of service.
struct Absence {
  std::string data_centre;
  Time from{0};
  Time to{0};
};

// A worker that fails every task started on it during a period.
struct BadWorker {
  std::string worker;
  Time from{0};
  Time to{0};
};

struct Workload {
  std::string name;
  Inventory inventory;
  std::vector<SimJob> jobs;  // By arrival time.
  Absence absence;
  BadWorker bad_worker;
  Duration length{0};  // Arrival period.
};

// Workloads of the users, generated from a seed: equal seeds give equal
// workloads.
Workload ObchvatWorkload(std::uint64_t seed);
Workload HangyeolWorkload(std::uint64_t seed);

// One of the three regions at its projected size in two years. `scale` 1 is the
// whole region.
Workload RegionWorkload(std::uint64_t seed, double scale);

}  // namespace marjoramplank::bench
