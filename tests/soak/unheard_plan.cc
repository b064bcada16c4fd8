#include <algorithm>

#include "tests/soak/plan.h"
#include "tests/soak/random.h"

namespace marjoramplank::soak {
namespace {

constexpr std::int64_t kFirstFaultMs = 4000;  // The first jobs are at work.
constexpr std::int64_t kMeanPauseMs = 1500;   // Between two machines.
constexpr std::int64_t kJobIntervalMs = 600;

}  // namespace

Plan DrawUnheardPlan(std::uint64_t seed, const Shape& shape) {
  Random random(seed);
  Plan out{.listed_ends = 500, .page_keys = 500};
  for (std::int64_t at = kFirstFaultMs; at < shape.length_ms;
       at += random.Between(0, 2 * kMeanPauseMs)) {
    const int target = static_cast<int>(random.Between(1, shape.workers));
    const std::int64_t silence = random.Between(3000, 9500);
    // At most what the platform's disruptions have.
    const std::int64_t suspension = random.Between(2000, 4000);
    out.faults.push_back({.at_ms = at,
                          .kind = FaultKind::kSuspend,
                          .target = target,
                          .length_ms = silence + suspension});
    out.faults.push_back({.at_ms = at + silence,
                          .kind = FaultKind::kSuspendWorker,
                          .target = target,
                          .length_ms = suspension});
  }
  std::stable_sort(
      out.faults.begin(), out.faults.end(),
      [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  for (std::int64_t at = 0; at < shape.length_ms; at += kJobIntervalMs) {
    Job job = DrawLongJob(random);
    job.at_ms = at;
    out.jobs.push_back(job);
  }
  return out;
}

}  // namespace marjoramplank::soak
