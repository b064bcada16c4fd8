#pragma once

#include <cstdint>
#include <random>

namespace marjoramplank::soak {

// Draws that are the same with each standard library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // From `from` to `to`, both included.
  std::int64_t Between(std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      engine_() % static_cast<std::uint64_t>(to - from + 1));
  }
  bool Percent(int share) { return Between(0, 99) < share; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace marjoramplank::soak
