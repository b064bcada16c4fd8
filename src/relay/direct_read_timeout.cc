#include "src/relay/direct_read_timeout.h"

#include <algorithm>

#include "src/store/retry_backoff.h"

namespace marjoramplank {

Duration DirectReadTimeout::For(Duration usual) const {
  return has_timed_out_ ? std::max(usual, kBulkReadTimeout) : usual;
}

void DirectReadTimeout::OnFailure(Duration timeout, Duration took) {
  // Both ends of the call are rounded to milliseconds.
  constexpr Duration kRounding = 2ms;
  has_timed_out_ = has_timed_out_ || took + kRounding >= timeout;
}

}  // namespace marjoramplank
