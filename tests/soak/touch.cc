#include "tests/soak/touch.h"

#include <algorithm>

namespace marjoramplank::soak {

constexpr char kStoreName[] = "store";

void Touch::Begin(const std::string& name, std::int64_t ms, bool planned) {
  State& s = states_[name];
  ++s.open;
  s.unplanned_open += planned ? 0 : 1;
  s.ended_ms = ms;
  s.unplanned_ms = planned ? s.unplanned_ms : ms;
}

void Touch::End(const std::string& name, std::int64_t ms) {
  State& s = states_[name];
  s.open = std::max(0, s.open - 1);
  s.ended_ms = ms;
  if (s.unplanned_open > 0) {
    s.unplanned_ms = ms;
    s.unplanned_open = std::min(s.unplanned_open, s.open);
  }
}

void Touch::Restart(const std::string& name, std::int64_t ms) {
  State& s = states_[name];
  s.open = 0;
  s.unplanned_open = 0;
  s.ended_ms = ms;
}

bool Touch::IsCalm(const std::string& name,
                   std::int64_t ms,
                   std::int64_t span_ms) const {
  return std::all_of(states_.begin(), states_.end(), [&](const auto& entry) {
    const auto& [who, s] = entry;
    return (who != name && who != kStoreName) ||
           (s.open == 0 && s.ended_ms + span_ms < ms);
  });
}

bool Touch::IsUndisrupted(const std::string& name,
                          std::int64_t ms,
                          std::int64_t span_ms) const {
  return std::all_of(states_.begin(), states_.end(), [&](const auto& entry) {
    const auto& [who, s] = entry;
    return (who != name && who != kStoreName) ||
           (s.unplanned_open == 0 && s.unplanned_ms + span_ms < ms);
  });
}

bool Touch::IsAllCalm(std::int64_t ms, std::int64_t span_ms) const {
  return std::all_of(states_.begin(), states_.end(), [&](const auto& entry) {
    return entry.second.open == 0 && entry.second.ended_ms + span_ms < ms;
  });
}

}  // namespace marjoramplank::soak
