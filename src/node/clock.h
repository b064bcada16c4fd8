#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// Monotonic time since the machine booted. It includes time in suspension, so a
// lease or a cached view does not look younger after the machine resumes.
Time BootClockNow();

// Unix time in milliseconds that never jumps: the wall clock at the first call
// plus the monotonic time since then. Later wall clock steps have no effect.
std::int64_t SteadyUnixMs();

}  // namespace marjoramplank
