#include "src/planner/run_time_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace marjoramplank {

namespace {

// Standard deviations above the mean of a normal distribution.
constexpr double kNinetiethPercentile = 1.28;
constexpr Duration kMinDuration = 1ms;

std::size_t OctaveOf(Duration declared, std::size_t octaves) {
  const auto seconds = static_cast<std::uint64_t>(
      std::max<std::int64_t>(declared.count() / 1000, 0));
  return std::min(static_cast<std::size_t>(std::bit_width(seconds)),
                  octaves - 1);
}

Duration Scale(Duration d, double exponent) {
  const double scaled = static_cast<double>(std::max(d, kMinDuration).count()) *
                        std::exp(exponent);
  return Duration{static_cast<std::int64_t>(std::min(scaled, 1e15))};
}

}  // namespace

const RunTimeEstimator::Sample& RunTimeEstimator::BestSample(
    Duration declared) const {
  const Sample& sample = by_octave_[OctaveOf(declared, kOctaves)];
  return sample.observation_count >= kMinObservations ? sample : overall_;
}

Duration RunTimeEstimator::Expected(Duration declared) const {
  return Scale(declared, BestSample(declared).mean);
}

Duration RunTimeEstimator::Pessimistic(Duration declared) const {
  const Sample& sample = BestSample(declared);
  return Scale(declared,
               sample.mean + kNinetiethPercentile * std::sqrt(sample.variance));
}

Duration RunTimeEstimator::Remaining(Duration declared,
                                     Duration elapsed) const {
  const Duration expected = Expected(declared);
  // Run times are long-tailed: a run past its estimate is expected to take as
  // long again as it has already.
  return elapsed < expected ? std::max(expected - elapsed, elapsed / 4)
                            : elapsed;
}

void RunTimeEstimator::Observe(Duration declared, Duration actual) {
  const double ratio =
      std::log(static_cast<double>(std::max(actual, kMinDuration).count()) /
               static_cast<double>(std::max(declared, kMinDuration).count()));
  for (Sample* s : {&by_octave_[OctaveOf(declared, kOctaves)], &overall_}) {
    ++s->observation_count;
    const double weight =
        std::max(kObservationWeight, 1.0 / s->observation_count);
    const double deviation = ratio - s->mean;
    s->mean += weight * deviation;
    s->variance =
        s->observation_count == 1
            ? s->variance
            : (1 - weight) * (s->variance + weight * deviation * deviation);
  }
}

}  // namespace marjoramplank
