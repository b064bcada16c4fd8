#include "src/store/retry_backoff.h"

#include <algorithm>

namespace marjoramplank {

RetryBackoff::RetryBackoff(Options options, std::uint_fast32_t seed)
    : options_(options), random_(seed) {}

Duration RetryBackoff::OnFailure() {
  bound_ = std::clamp(bound_ * 2, options_.min_delay, options_.max_delay);
  const Duration least = options_.min_delay / 2;
  std::uniform_int_distribution<std::int64_t> delay(least.count(),
                                                    bound_.count());
  return Duration(delay(random_));
}

}  // namespace marjoramplank
