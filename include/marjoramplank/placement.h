#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace marjoramplank {

// Where one task of a gang runs.
struct TaskPlacement {
  std::int32_t task = 0;               // Index within the gang.
  std::string worker;                  // Worker name.
  std::uint32_t accelerator_mask = 0;  // Bit i: accelerator i.

  friend auto operator<=>(const TaskPlacement&, const TaskPlacement&) = default;
};

}  // namespace marjoramplank
