#pragma once

#include <chrono>
#include <cstdint>

namespace marjoramplank {

// Time points and durations are both in milliseconds. A time point is only
// compared with time points of the same process: nothing relies on the clocks
// of two machines agreeing.
using Duration = std::chrono::milliseconds;

// Time point on the monotonic clock of one process; virtual in tests.
using Time = std::chrono::milliseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

// A time point that is never reached.
inline constexpr Time kNever = Time::max();

// Converts to seconds, the unit of reports and metrics.
inline double ToSeconds(Duration d) {
  return static_cast<double>(d.count()) / 1000.0;
}

}  // namespace marjoramplank
