#include "src/store/adaptive_timeout.h"

#include <algorithm>

namespace marjoramplank {

namespace {

// Decay per response; two faster responses halve the recorded maximum.
constexpr int kDecayNumerator = 7;
constexpr int kDecayDenominator = 10;

}  // namespace

AdaptiveTimeout::AdaptiveTimeout(Options options) : options_(options) {}

Duration AdaptiveTimeout::current() const {
  return std::clamp(recent_max_latency_ * options_.multiplier,
                    options_.min_timeout, options_.max_timeout);
}

void AdaptiveTimeout::OnResponse(Duration latency) {
  recent_max_latency_ = std::max(
      latency, recent_max_latency_ * kDecayNumerator / kDecayDenominator);
}

void AdaptiveTimeout::OnTimeout() {
  recent_max_latency_ = current();
}

}  // namespace marjoramplank
