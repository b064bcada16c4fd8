#pragma once

#include <map>
#include <string>
#include <vector>

#include "tests/support/protocol_simulation.h"

namespace marjoramplank::testing {

// A job that was submitted, as input of the checker.
struct SubmittedJob {
  JobSpec spec;
  std::string id;
};

// Bounds that the system guarantees.

// No task starts in a data centre this long after it was taken out of service.
inline constexpr Duration kOutOfServiceBound = 3s;
// Part of a gang runs no longer than this: the time to detect a lost member,
// the orphan timeout and the lease, with a margin.
inline constexpr Duration kPartialGangBound = 40s;

// Checks a recorded history against the system's guarantees, without knowledge
// of its implementation. Returns a description of each violation.
std::vector<std::string> CheckHistory(
    const std::vector<Event>& events,
    const std::map<std::string, SubmittedJob>& jobs,
    Time end);

}  // namespace marjoramplank::testing
