#include "src/planner/accelerator_mask.h"

namespace marjoramplank {

std::int32_t BlockClass(std::int32_t n) {
  return n == 0
             ? 0
             : 1 + std::countr_zero(static_cast<std::uint32_t>(BlockSize(n)));
}

std::int32_t LargestFreeBlockClass(AcceleratorMask free) {
  for (std::int32_t size = kMaxAccelerators; size >= 1; size /= 2) {
    for (std::int32_t at = 0; at < kMaxAccelerators; at += size) {
      const AcceleratorMask block = FullMask(size) << at;
      if ((free & block) == block) {
        return BlockClass(size);
      }
    }
  }
  return 0;
}

namespace {

// Size of the largest free block that contains the block of `size` at `at`. The
// smaller it is, the less contiguous capacity a pick breaks up.
std::int32_t EnclosingFreeBlock(AcceleratorMask free,
                                std::int32_t at,
                                std::int32_t size) {
  std::int32_t enclosing = size;
  while (enclosing * 2 <= kMaxAccelerators) {
    const std::int32_t next = enclosing * 2;
    const AcceleratorMask block = FullMask(next) << (at / next * next);
    if ((free & block) != block) {
      break;
    }
    enclosing = next;
  }
  return enclosing;
}

}  // namespace

AcceleratorMask PickBlock(AcceleratorMask free, std::int32_t n) {
  if (n == 0) {
    return 0;
  }
  const std::int32_t size = BlockSize(n);
  AcceleratorMask best = 0;
  std::int32_t best_enclosing = kMaxAccelerators + 1;
  for (std::int32_t at = 0; at + size <= kMaxAccelerators; at += size) {
    const AcceleratorMask wanted = FullMask(n) << at;
    if ((free & wanted) != wanted) {
      continue;
    }
    const AcceleratorMask block = FullMask(size) << at;
    const bool whole = (free & block) == block;
    const std::int32_t enclosing =
        whole ? EnclosingFreeBlock(free, at, size) : size / 2;
    if (enclosing < best_enclosing) {
      best = wanted;
      best_enclosing = enclosing;
    }
  }
  return best;
}

}  // namespace marjoramplank
