#include "src/entry/gang.h"

#include <algorithm>
#include <array>

namespace marjoramplank {

const char* ToString(GangPhase phase) {
  constexpr std::array kNames = {"preparing", "recording", "committing",
                                 "running",   "stopping",  "storing"};
  return kNames.at(static_cast<std::size_t>(phase));
}

std::optional<RunEnd> RunEndFromVerdicts(const Gang& gang) {
  const auto all = [&](StopVerdict v) {
    return std::all_of(
        gang.members.begin(), gang.members.end(),
        [&](const auto& m) { return m.second.stop_verdict == v; });
  };
  const auto any = [&](StopVerdict v) {
    return std::any_of(
        gang.members.begin(), gang.members.end(),
        [&](const auto& m) { return m.second.stop_verdict == v; });
  };
  if (all(StopVerdict::kNeverStarted)) {
    return RunEnd::kNeverStarted;
  }
  if (all(StopVerdict::kSucceeded)) {
    return std::nullopt;
  }
  if (gang.stop_cause == RunEnd::kTaskFailed || any(StopVerdict::kFailed)) {
    return RunEnd::kTaskFailed;
  }
  if (any(StopVerdict::kUnknown) || gang.stop_cause == RunEnd::kLost) {
    return RunEnd::kLost;
  }
  return all(StopVerdict::kCheckpointed) ? RunEnd::kCheckpointed
                                         : RunEnd::kStopped;
}

}  // namespace marjoramplank
