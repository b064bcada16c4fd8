#pragma once

#include <array>
#include <cstdint>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Corrects the run times that an account declares by the observed ones.
// Declared times are off by up to a factor of ten either way, but consistently
// so for one account: the estimator keeps the mean and variance of log(actual /
// declared), for each octave of declared time and overall.
class RunTimeEstimator {
 public:
  Duration Expected(Duration declared) const;  // Corrected median estimate.
  // 90th percentile of the run time.
  Duration Pessimistic(Duration declared) const;
  // Expected remaining time of a run that has lasted `elapsed`.
  Duration Remaining(Duration declared, Duration elapsed) const;
  // Records a run that ended by itself.
  void Observe(Duration declared, Duration actual);

 private:
  struct Sample {
    double mean = 0;  // Of log(actual / declared).
    // Of log(actual / declared). The initial value is wide, as nothing is known
    // yet.
    double variance = 1;
    std::int32_t observation_count = 0;
  };
  const Sample& BestSample(Duration declared) const;

  static constexpr std::size_t kOctaves = 24;  // Up to 2^23 s.
  // An octave with fewer observations falls back to the overall sample.
  static constexpr std::int32_t kMinObservations = 5;
  // Minimum weight of a new observation in the moving averages.
  static constexpr double kObservationWeight = 0.1;
  std::array<Sample, kOctaves> by_octave_{};
  Sample overall_;
};

}  // namespace marjoramplank
