#include "src/node/campaign_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace marjoramplank {

CampaignSchedule::CampaignSchedule(std::string name, Options options)
    : name_(std::move(name)), options_(options) {}

Duration CampaignSchedule::DelayOf(std::int64_t epoch,
                                   std::size_t entries) const {
  const Duration spread = std::min(
      options_.spread_per_entry *
          (static_cast<std::int64_t>(std::max<std::size_t>(entries, 1)) - 1),
      options_.max_spread);
  const std::string key = name_ + "/" + std::to_string(epoch);
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  return Duration(static_cast<std::int64_t>(
      hash % static_cast<std::uint64_t>(spread.count() + 1)));
}

void CampaignSchedule::OnFailure(Time now) {
  backoff_ =
      std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
  next_try_at_ = now + backoff_;
}

void CampaignSchedule::OnSuccess() {
  backoff_ = Duration(0);
  next_try_at_ = Time{0};
}

}  // namespace marjoramplank
