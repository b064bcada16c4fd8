#include "src/node/clock.h"

#include <chrono>
#include <ctime>

namespace marjoramplank {

namespace {

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Time BootClockNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return std::chrono::duration_cast<Time>(std::chrono::seconds(ts.tv_sec) +
                                          std::chrono::nanoseconds(ts.tv_nsec));
}

std::int64_t SteadyUnixMs() {
  static const std::int64_t unix_offset_ms = UnixMs() - BootClockNow().count();
  return BootClockNow().count() + unix_offset_ms;
}

}  // namespace marjoramplank
