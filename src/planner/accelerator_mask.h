#pragma once

#include <bit>
#include <cstdint>

namespace marjoramplank {

// Accelerators of a worker as a bit set. A block is an aligned, power-of-two
// sized range of accelerators (0-1, 2-3, 0-3, 4-7 and so on); the accelerators
// of a block are adjacent, as the interconnect links them.
using AcceleratorMask = std::uint32_t;

inline constexpr std::int32_t kMaxAccelerators = 16;
// Class 0: no free block. Classes 1 to 5: blocks of 1, 2, 4, 8 and 16
// accelerators.
inline constexpr std::int32_t kBlockClasses = 6;

// Returns the mask of a worker's accelerators 0 to n-1.
inline AcceleratorMask FullMask(std::int32_t n) {
  return n >= 32 ? ~AcceleratorMask{0} : (AcceleratorMask{1} << n) - 1;
}

// Returns the smallest power of two that is at least n.
inline std::int32_t BlockSize(std::int32_t n) {
  return static_cast<std::int32_t>(
      std::bit_ceil(static_cast<std::uint32_t>(n)));
}

// Returns the class of the block that a request for n adjacent accelerators
// needs: 0 for n = 0, else 1 + log2 of the block size.
std::int32_t BlockClass(std::int32_t n);

// Returns the class of the largest free block; 0 if there is none.
std::int32_t LargestFreeBlockClass(AcceleratorMask free);

// Picks n adjacent accelerators out of `free`. Best fit: prefers the position
// that breaks up the smallest free block, then the lowest index. Returns 0 if n
// is 0 or no position is free.
AcceleratorMask PickBlock(AcceleratorMask free, std::int32_t n);

}  // namespace marjoramplank
