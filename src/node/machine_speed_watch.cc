#include "src/node/machine_speed_watch.h"

#include <algorithm>
#include <map>

namespace marjoramplank {

std::vector<MachineSpeedWatch::Change> MachineSpeedWatch::Update(
    Time now,
    const RunTimeModel& model) {
  const std::int64_t count = model.sample_count();
  new_samples_ =
      sample_count_ < 0 ? 0 : std::max<std::int64_t>(count - sample_count_, 0);
  sample_count_ = count;
  const std::map<std::string, double> slow = model.SlowMachines(now, kSlow);
  slow_machines_ = slow.size();
  std::vector<Change> out;
  const auto add = [&](const std::string& agent, bool is_slow) {
    out.push_back({.agent = agent,
                   .is_slow = is_slow,
                   .slowness = model.Slowness(now, agent),
                   .samples = model.SampleCount(agent),
                   .sample_age = model.SampleAge(now, agent)});
  };
  for (auto it = reported_.begin();
       it != reported_.end() && out.size() < kMaxChanges;) {
    if (model.Slowness(now, *it) >= kNoLongerSlow) {
      ++it;
      continue;
    }
    add(*it, /*is_slow=*/false);
    it = reported_.erase(it);
  }
  for (const auto& [agent, slowness] : slow) {
    if (out.size() >= kMaxChanges) {
      break;
    }
    if (reported_.insert(agent).second) {
      add(agent, /*is_slow=*/true);
    }
  }
  return out;
}

}  // namespace marjoramplank
