#pragma once

#include <cstdint>

#include "marjoramplank/job_spec.h"

namespace marjoramplank {

// Resources of a worker that are counted rather than numbered: processors,
// memory and endpoint slots.
struct HostResources {
  std::int32_t cores = 0;
  std::int32_t memory_mb = 0;
  std::int32_t slots = 0;

  friend bool operator==(const HostResources&, const HostResources&) = default;

  HostResources& operator+=(const HostResources& other) {
    cores += other.cores;
    memory_mb += other.memory_mb;
    slots += other.slots;
    return *this;
  }
  HostResources& operator-=(const HostResources& other) {
    cores -= other.cores;
    memory_mb -= other.memory_mb;
    slots -= other.slots;
    return *this;
  }
  friend HostResources operator+(HostResources a, const HostResources& b) {
    return a += b;
  }
  friend HostResources operator-(HostResources a, const HostResources& b) {
    return a -= b;
  }

  // True when every resource is at least that of `need`.
  bool Covers(const HostResources& need) const {
    return cores >= need.cores && memory_mb >= need.memory_mb &&
           slots >= need.slots;
  }
};

// Returns the host resources that one task needs.
inline HostResources HostResourcesOf(const TaskShape& shape) {
  return {.cores = shape.cores, .memory_mb = shape.memory_mb, .slots = 1};
}

}  // namespace marjoramplank
