#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// Time since the machine started, suspensions included: ages that are judged by
// it do not shrink while the machine was suspended.
Time BootTime();

// Unix time by this process's best evidence: the time of day at its start,
// carried on by BootTime(), so later jumps of the time of day have no effect.
std::int64_t SteadyUnixMs();

}  // namespace marjoramplank
